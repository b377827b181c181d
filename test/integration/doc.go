// Package integration tests a fleet of real processes with the build tag fleet. The hosts and the
// stand-in endpoints are processes of the built program; all their connections pass through a
// fault-injecting proxy in the test process, which listens on loopback only. The tests end every
// process that they start.
package integration
