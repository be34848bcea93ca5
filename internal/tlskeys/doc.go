// Package tlskeys makes TLS configurations from PEM files and keeps them up to
// date. A Keys value is opened once; its watch task reads the files again when
// they change and publishes the new certificate to the handshakes that follow.
// Connections that are open keep what they agreed on. Files that cannot be used
// are reported, and the former certificate stays in use.
package tlskeys
