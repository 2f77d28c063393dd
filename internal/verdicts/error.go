package verdicts

import "fmt"

// KeyError reports an item whose key is not that of its part.
type KeyError struct{ key, part string }

// Error returns a message with the key and the part.
func (e *KeyError) Error() string {
	return fmt.Sprintf("verdicts: item %q holds the part %q, which has another key", e.key, e.part)
}
