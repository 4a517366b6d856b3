// Package acceptance tests complete front ends: processes on loopback that work with the
// fake engines, clients and discovery service of package fakes. The rules of the protocol
// are checked only against the records of clients and engines.
//
//	fleet_test.go         starting front ends, sending requests, checking the rules
//	faults_test.go        random faults of engines, network, discovery and processes
//	incident_test.go      regression tests for past incidents
//	protocol_test.go      single rows of docs/protocol.md
//	clock_test.go         slow start with a wrong wall clock
//	tenant_test.go        quotas of tenants under overload
//	protocolpage_test.go  the tests and settings that docs/protocol.md names
package acceptance
