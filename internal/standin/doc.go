// Package standin emulates a PostgreSQL server for tests, benchmarks and local
// evaluation. It speaks the PostgreSQL wire protocol, runs SQL on an embedded
// SQLite engine and forms groups with log positions, timelines and asynchronous
// replication. A primary logs its committed transactions, replicas flush them
// and replay them later, and a promotion starts a new timeline. A partitioned
// primary keeps accepting writes; those that no replica has flushed are lost
// when it is replaced.
//
// The package owns the endpoint's sockets, its database files and its log. Its
// only link to the proxy is the HTTP address to which it sends announcements.
package standin
