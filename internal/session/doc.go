// Package session holds the tests that run whole sessions: real filter chains and controllers of
// several hosts, with fakes at the interfaces to the network, the platform and the back ends.
//
// The clock is that of testing/synctest, and random sources have fixed seeds, so that the
// transcript of a session is the same on each run.
package session
