package stage

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// ExitHeld, ExitBroken and ExitNotRun are what a case exits with.
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2

	// ClientHost is the host name of all routes.
	ClientHost = "shop.example"
	// Key is the API key of the only team.
	Key = "key-of-team"
	// Model is the model that the engines serve.
	Model = "m0"
	// EventCount is the number of events in a stream.
	EventCount = 12
)

type (
	// Case is a run of a case.
	Case struct {
		// Root is the root of the repository, Dir a temporary folder.
		Root, Dir string
		// Trouble is set unless the case runs without the disruption.
		Trouble bool

		mu     sync.Mutex
		record *os.File
		began  time.Time
	}

	// Answer is what a client has received.
	Answer struct {
		Status   int
		Header   http.Header
		Body     string
		Complete bool
		Err      error
	}
)

// Run runs a case in its folder, which is the working directory, and exits. It fails with an error if the case could not run.
func Run(play func(ca *Case) (broken bool, err error)) {
	os.Exit(run(play))
}

func run(play func(ca *Case) (broken bool, err error)) int {
	folder, err := os.Getwd()
	if err != nil {
		return ExitNotRun
	}
	ca := &Case{Root: filepath.Join(folder, "../.."), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if ca.record, err = os.Create("record.txt"); err != nil {
		return ExitNotRun
	}
	defer func() { _ = ca.record.Close() }()
	if ca.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return ExitNotRun
	}
	defer func() { _ = os.RemoveAll(ca.Dir) }()
	broken, err := play(ca)
	switch {
	case err != nil:
		ca.Note("could not run: %v", err)
		return ExitNotRun
	case broken:
		ca.Note("result: broken")
		return ExitBroken
	}
	ca.Note("result: held")
	return ExitHeld
}

// Note writes a line with the time to the record and to the standard output.
func (ca *Case) Note(format string, args ...any) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(ca.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(io.MultiWriter(ca.record, os.Stdout), line)
}

// NoteFile adds the lines of a file that contain a text to the record.
func (ca *Case) NoteFile(name, path, text string) {
	data, err := os.ReadFile(path)
	if err != nil {
		ca.Note("%s: %v", name, err)
		return
	}
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if strings.Contains(line, text) && line != "" {
			ca.Note("%s: %s", name, line)
		}
	}
}

// Send sends a request on a connection of its own and reads the answer to its end.
func Send(address, method, uri, id, body string, timeout time.Duration, fields map[string]string) Answer {
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	rq, err := http.NewRequest(method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	rq.Host = ClientHost
	rq.GetBody = nil
	rq.Header.Set("X-Request-Id", id)
	rq.Header.Set("X-Api-Key", Key)
	rq.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range fields {
		rq.Header.Set(name, value)
	}
	client := &http.Client{Transport: tr, Timeout: timeout + time.Second}
	rsp, err := client.Do(rq)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	return Answer{Status: rsp.StatusCode, Header: rsp.Header, Body: string(data), Complete: err == nil, Err: err}
}

// Body returns the body with which a worker answers a request.
func Body(id string) string {
	var sb strings.Builder
	for i := range 40 {
		fmt.Fprintf(&sb, "line %d of 40 for %s\n", i+1, id)
	}
	return sb.String()
}
