// Package proxying carries calls to workers from the leader to the call proxies and their answers back
// (docs/design/call-proxies.md). Leader is the leader's side, Proxy the side of the process that sends the
// calls. Each is a task that owns its state; the decisions are in core/callproxy.
package proxying
