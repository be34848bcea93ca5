// Package hostileclients tests that clients that ignore the limits do not end a process of the system. Its
// tests start the programs on loopback addresses and send one kind of traffic each. They measure the memory
// of processes, so they run one at a time and apart from other packages: scripts/test.sh runs this package
// after all others.
package hostileclients
