// Package platformsoak tests the programs of the users' platform as separate processes on loopback
// addresses. Stand-ins take the places of the platform's workers, adviser, clients and operator. The
// tests inject faults from outside the programs and check the calls and responses that the stand-ins
// receive. The package has test files only.
package platformsoak
