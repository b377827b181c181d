// Package integration tests a fleet of real processes: hosts and stand-in
// endpoints that are started from the built program and linked through a
// fault-injecting proxy inside the test process. The tests own every process
// that they start and listen on loopback only.
package integration
