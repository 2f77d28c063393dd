package main

import (
	"fmt"
	"strings"
)

type (
	usageError struct {
		problem string
	}

	notFoundError struct {
		kind string
		name string
	}

	waitError struct {
		revision uint64
		missing  []string
	}

	answerError struct {
		address string
		status  int
		body    string
	}
)

func (e *usageError) Error() string { return "bergamotctl: " + e.problem }

func (e *notFoundError) Error() string {
	return fmt.Sprintf("bergamotctl: there is no %s %q", e.kind, e.name)
}

func (e *waitError) Error() string {
	return fmt.Sprintf("bergamotctl: revision %d is accepted but not yet in force on %s",
		e.revision, strings.Join(e.missing, ", "))
}

func (e *answerError) Error() string {
	return fmt.Sprintf("bergamotctl: %s answered %d: %s", e.address, e.status, e.body)
}
