// Package session holds the whole-system tests. They run the real filter chains and controllers of
// several hosts in one process, with fakes for the network, the platform and the back ends.
//
// The tests use the fake clock of testing/synctest and random sources with fixed seeds, so that the
// transcript of a scenario is the same on each run.
package session
