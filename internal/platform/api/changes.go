package api

// Changes holds the rows that changed after a revision, in the order of the changes.
type Changes struct {
	Rows []Change
	// Revision is the revision from which the next call continues.
	Revision int
}

// Change is the newest state of one row.
type Change struct {
	Row
	// Deleted reports that the row no longer exists; its value is empty.
	Deleted bool
}
