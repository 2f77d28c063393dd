package metastore

import (
	"cmp"
	"fmt"
	"strconv"
)

// Revision identifies a state of a store. Revisions of a later era come after all of an earlier one. The zero value comes
// before all others.
type Revision struct {
	// Era is the number of times that the store has been restored from a copy, as the store counts them; zero if it does
	// not say. Numbers that were given out between the copy and the restore are given out again in the next era.
	Era uint64
	// Number rises by one with each change.
	Number uint64
}

// RevisionError reports a text that is not an encoded revision.
type RevisionError struct {
	text  string
	cause error
}

// eraShift is the number of bits of a token below those of the era.
const eraShift = 40

// Error returns a message with the text and the cause.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("metastore: %q is not a revision: %v", e.text, e.cause)
}

// Unwrap returns the cause.
func (e *RevisionError) Unwrap() error { return e.cause }

// Compare returns -1 if re comes before other, 1 if it comes after it, and 0 if they are the same.
func (re Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(re.Era, other.Era), cmp.Compare(re.Number, other.Number))
}

// Before reports whether re comes before other.
func (re Revision) Before(other Revision) bool { return re.Compare(other) < 0 }

// After reports whether re comes after other.
func (re Revision) After(other Revision) bool { return re.Compare(other) > 0 }

// IsZero reports whether re is the zero value.
func (re Revision) IsZero() bool { return re == Revision{} }

// Latest returns the later of two revisions.
func (re Revision) Latest(other Revision) Revision {
	if other.After(re) {
		return other
	}
	return re
}

// Token returns a number that is higher for later revisions, also of a later era.
func (re Revision) Token() uint64 { return re.Era<<eraShift | re.Number }

// String returns the number, after the era and a point if there is an era.
func (re Revision) String() string {
	number := strconv.FormatUint(re.Number, 10)
	if re.Era == 0 {
		return number
	}
	return strconv.FormatUint(re.Era, 10) + "." + number
}

// MarshalJSON encodes a revision as its token. Hosts of earlier versions read it as a late revision.
func (re Revision) MarshalJSON() ([]byte, error) { return strconv.AppendUint(nil, re.Token(), 10), nil }

// UnmarshalJSON decodes a token. It fails with a *RevisionError.
func (re *Revision) UnmarshalJSON(data []byte) error {
	token, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return &RevisionError{text: string(data), cause: err}
	}
	re.Era, re.Number = token>>eraShift, token&(1<<eraShift-1)
	return nil
}
