package tree

import "fmt"

// PathError says that a path is not a valid path of the tree.
type PathError struct {
	Path    string
	Allowed string
}

func (e *PathError) Error() string {
	return fmt.Sprintf("path %q is invalid: must be %s", e.Path, e.Allowed)
}

// ValueError says which field of the value at a path is invalid.
type ValueError struct {
	Path    string
	Field   string
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: field %s has value %q: must be %s", e.Path, e.Field, e.Value, e.Allowed)
}

// SharedKeyError says that workspaces have a key in common, which therefore identifies none of them.
type SharedKeyError struct {
	Path  string
	Other string
}

func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("%s: a key is also one of %s: it identifies no workspace", e.Path, e.Other)
}

// AccessError says that the author may not write or read a path.
type AccessError struct {
	Path   string
	Author string
}

func (e *AccessError) Error() string {
	return fmt.Sprintf("%s may not read or write %s: use a token of the team that owns the path", e.Author, e.Path)
}

// ConflictError says that a path is not at the revision that the edit requires.
type ConflictError struct {
	Path string
	Have uint64
	Want uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, not %d: read it again, then repeat the change", e.Path, e.Have, e.Want)
}

// NotFoundError says that a path does not exist.
type NotFoundError struct {
	Path string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.Path) }

// OutOfOrderError says that a change's revision is not the one after the state's.
type OutOfOrderError struct {
	Have uint64
	Got  uint64
}

func (e *OutOfOrderError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.Got, e.Have)
}

// LimitError says that a request exceeds a limit of the tree.
type LimitError struct {
	Quantity string
	Have     int
	Limit    int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("number of %s is %d: must be at most %d", e.Quantity, e.Have, e.Limit)
}
