// Package version holds the version of the program.
package version

// Version is the released version. A build can override it with the linker flag -X.
var Version = "0.1.0-dev"
