// Package platformsoak runs the programs of the users' platform as separate
// processes on loopback against small stand-ins of the platform's workers,
// adviser, clients and operator, injects faults from outside, and checks what
// the stand-ins see. It has test files only.
package platformsoak
