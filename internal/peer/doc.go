// Package peer connects entry instances over WebSocket links that carry CBOR frames: instance state, configuration
// and calls.
package peer
