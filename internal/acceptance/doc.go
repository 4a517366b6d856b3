// Package acceptance holds tests of whole front ends: real processes on loopback
// against the stand-ins of package standin, judged by the rules of the published
// protocol from the records of clients and engines alone.
package acceptance
