// Package optional reads the optional fields of generated messages, which are pointers.
package optional

// Value returns what p points to, or the zero value if p is nil.
func Value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
