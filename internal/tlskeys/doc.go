// Package tlskeys builds TLS configurations from PEM files and reloads the files when they change.
// Open reads the files for the first time. Watch reads them again after each change, and later
// handshakes use the new certificate; open connections are not affected. Files that cannot be used
// are reported, and the previous certificate stays in use.
package tlskeys
