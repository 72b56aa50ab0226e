package config

// This file defines the package's typed errors.

import "fmt"

// InvalidError says which field of which object is at fault and how to mend it.
type InvalidError struct {
	Object ID
	Field  string
	Value  string
	Remedy string
}

// Error describes the fault and its remedy.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %q: %s %q is not valid: %s", e.Object.Kind, e.Object.Name, e.Field, e.Value, e.Remedy)
}

func invalid(o *Object, field, value, remedy string) error {
	return &InvalidError{Object: o.ID(), Field: field, Value: value, Remedy: remedy}
}

// ConflictError says that an object was changed since the version that a change was based on.
type ConflictError struct {
	Object ID
	Want   uint64  // the version that the change was based on; 0 for a creation
	Have   *Object // the object as it stands, nil when it does not exist
	Last   *Change // the change that made it so, nil when it is no longer kept
}

// Error describes the conflict and its remedy.
func (e *ConflictError) Error() string {
	have := uint64(0)
	if e.Have != nil {
		have = e.Have.Version
	}
	s := fmt.Sprintf("%s %q is at version %d, not %d", e.Object.Kind, e.Object.Name, have, e.Want)
	if e.Last != nil {
		s += fmt.Sprintf(": changed by %q of office %q", e.Last.Operator, e.Last.Office)
	}
	return s + "; read it again and repeat the change on the version that stands"
}

// SequenceError says that a change does not follow the state that it was applied to.
type SequenceError struct {
	Have, Got uint64 // revisions
}

// Error describes the gap and its remedy.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("change of revision %d does not follow revision %d; fetch the changes between them", e.Got, e.Have)
}

// StrandedError says that a change would leave a service or customer with no backend server.
type StrandedError struct {
	Effects Effects
}

// Error describes what would be left with none and the remedy.
func (e *StrandedError) Error() string {
	return fmt.Sprintf("the change leaves services %q and customers %q with no backend server; force it if that is meant",
		e.Effects.StrandedServices, e.Effects.StrandedCustomers)
}
