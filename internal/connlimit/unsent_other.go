//go:build !linux

package connlimit

import "net"

// unsentBytes returns 0, which means that the number is not known.
func unsentBytes(net.Conn) int { return 0 }
