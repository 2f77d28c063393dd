package main

import (
	"fmt"
	"strings"
)

type (
	// usageError reports invalid arguments or flags.
	usageError struct {
		message string
	}

	// notFoundError reports that the configuration has no item of a kind and name.
	notFoundError struct {
		kind string
		name string
	}

	// waitTimeoutError reports an accepted revision that is not yet in force on the pending hosts.
	waitTimeoutError struct {
		revision uint64
		pending  []string
	}

	// responseError reports a response of a host with a status other than 200.
	responseError struct {
		address string
		status  int
		body    string
	}
)

func (e *usageError) Error() string { return "bergamotctl: " + e.message }

func (e *notFoundError) Error() string {
	return fmt.Sprintf("bergamotctl: there is no %s %q", e.kind, e.name)
}

func (e *waitTimeoutError) Error() string {
	return fmt.Sprintf("bergamotctl: revision %d is accepted but not yet in force on %s",
		e.revision, strings.Join(e.pending, ", "))
}

func (e *responseError) Error() string {
	return fmt.Sprintf("bergamotctl: %s answered %d: %s", e.address, e.status, e.body)
}
