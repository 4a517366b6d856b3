// Package mysql is the MySQL front end: a server for clients and a pool of
// connections to engines. Both use the MySQL client/server protocol with prepared
// statements. The package makes no scheduling decisions. It submits statements to the
// event loop, which handles them like any other request.
//
// The server:
//
//	server.go      accepting and ending connections
//	client.go      a client's connection
//	disconnect.go  detecting and handling a disconnect while a statement runs
//	commands.go    the commands of the protocol
//	prepared.go    prepared statements and their parameters
//	submit.go      submitting statements to the event loop, and their outcomes
//	loads.go       loads with an id: repeats get the outcome of the first run
//	leases.go      leases, which extend this to all front ends
//	keyorder.go    the order of statements with one order key until they are submitted
//	counters.go    counters of the server and the pool
//
// Statements and configuration:
//
//	statement.go  inspection of a statement's text
//	classify.go   the class, order key, deadline and cost of a statement
//	config.go     the configuration file
//
// The engines:
//
//	pool.go     the engines, and selection of a session for an attempt
//	attempt.go  the state and the result of an attempt
//	kill.go     cancelling an attempt with KILL QUERY on a separate connection
//	killconnection.go  that connection, which shows that the engine has not restarted
//	session.go  connections to engines, which run one statement at a time
//	handles.go  handles of statements that are prepared on a session
//	result.go   reading results
//	engineerrors.go  what the codes of engines' errors prove
//
// The protocol:
//
//	protocol.go  constants
//	stream.go    reading and writing of packets
//	payload.go   fields within packets
//	auth.go      authentication, on both sides
package mysql
