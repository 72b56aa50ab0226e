package config

// This file defines the error types that Plan, State.Apply and Store return.

import "fmt"

// InvalidError reports a field of an object that does not have a valid value.
type InvalidError struct {
	Object ID
	Field  string // JSON name, such as labels.weight
	Value  string
	Remedy string // instruction to the operator
}

// Error names the object, the field and its value, and says how to correct it.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %q: %s %q is not valid: %s", e.Object.Kind, e.Object.Name, e.Field, e.Value, e.Remedy)
}

func invalid(o *Object, field, value, remedy string) error {
	return &InvalidError{Object: o.ID(), Field: field, Value: value, Remedy: remedy}
}

// ConflictError reports that an object is not at the version that a requested change
// is based on, usually because it was changed in the meantime.
type ConflictError struct {
	Object          ID
	ExpectedVersion uint64  // version that the request is based on; 0 for a creation
	Current         *Object // current object; nil if it does not exist
	LastChange      *Change // latest change of the object; nil if the Store no longer has it
}

// Error gives both versions and the author of the latest change, and says how to proceed.
func (e *ConflictError) Error() string {
	version := uint64(0)
	if e.Current != nil {
		version = e.Current.Version
	}
	s := fmt.Sprintf("%s %q is at version %d, not %d", e.Object.Kind, e.Object.Name, version, e.ExpectedVersion)
	if e.LastChange != nil {
		s += fmt.Sprintf(": changed by %q of office %q", e.LastChange.Operator, e.LastChange.Office)
	}
	return s + "; read it again and repeat the change on the version that stands"
}

// SequenceError reports that the revision of a change is not the revision of the state plus one.
type SequenceError struct {
	StateRevision, ChangeRevision uint64
}

// Error gives both revisions and says how to proceed.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("change of revision %d does not follow revision %d; fetch the changes between them", e.ChangeRevision, e.StateRevision)
}

// StrandedError reports that a change would leave a service or a customer without any
// backend server that it can use. ChangeRequest.Force overrides the check.
type StrandedError struct {
	Effects Effects
}

// Error names the affected services and customers and says how to proceed.
func (e *StrandedError) Error() string {
	return fmt.Sprintf("the change leaves services %q and customers %q with no backend server; force it if that is meant",
		e.Effects.StrandedServices, e.Effects.StrandedCustomers)
}
