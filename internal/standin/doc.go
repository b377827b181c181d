// Package standin is a stand-in for a PostgreSQL server in tests, benchmarks
// and first trials. It speaks the PostgreSQL wire protocol, runs SQL on an
// embedded SQLite engine and forms groups with log positions, timelines and
// asynchronous replication: a primary logs its committed transactions, replicas
// first flush and later replay them, and a promotion starts a new timeline. A
// primary that is cut off goes on accepting writes, and what its replicas have
// not flushed is lost when it is replaced.
//
// The package owns the endpoint's sockets, its database files and its log. It
// knows nothing of the proxy in front of it except the HTTP address to which it
// announces itself.
package standin
