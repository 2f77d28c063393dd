package stage

import (
	"os/exec"
	"path/filepath"
	"time"
)

// Worker is the process of an endpoint; see the program in review/worker.
type Worker struct {
	id, address, log string
	process          *Process
}

// StartWorker starts an endpoint on an address.
func StartWorker(root, dir, id, address string, args ...string) (*Worker, error) {
	log := filepath.Join(dir, id+".log")
	cmd := exec.Command(filepath.Join(root, "review/bin/worker"), append([]string{"--id", id, "--listen", address}, args...)...)
	ps, err := startProcess(cmd, log)
	if err != nil {
		return nil, err
	}
	wo := &Worker{id: id, address: address, log: log, process: ps}
	// The endpoint listens once it accepts a connection.
	if err := Await(5*time.Second, func() bool { return accepts(address) }); err != nil {
		ps.Kill()
		return nil, err
	}
	return wo, nil
}

// Process returns the process of the endpoint.
func (wo *Worker) Process() *Process { return wo.process }

// LogPath returns the path of the file in which the endpoint notes what it runs.
func (wo *Worker) LogPath() string { return wo.log }
