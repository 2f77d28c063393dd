package stage

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// startTimeout is how long an endpoint may take to listen.
const startTimeout = 5 * time.Second

type (
	// WorkerOptions configures a Worker.
	WorkerOptions struct {
		ID, Service, Zone string
		// Software is the version of its software, and Model the model that it serves; empty for a plain service.
		Software, Model string
		// Address is where it listens, and PublicAddress what its entry says; empty means the same.
		Address, PublicAddress string
		Slots                  int
	}

	// Worker is the process of an endpoint; see the program in review/worker.
	Worker struct {
		opts    WorkerOptions
		born    int64
		log     string
		process *Process
	}
)

// StartWorker starts an endpoint. It does not write its entry.
func (ca *Case) StartWorker(opts WorkerOptions) (*Worker, error) {
	born := time.Now().UnixMilli()
	wo := &Worker{opts: opts, born: born, log: filepath.Join(ca.Dir, fmt.Sprintf("%s-%d.log", opts.ID, born))}
	cmd := exec.Command(filepath.Join(ca.Root, "review/bin/worker"),
		"--id", opts.ID, "--listen", opts.Address, "--born", fmt.Sprint(born), "--software", opts.Software, "--model", opts.Model)
	var err error
	if wo.process, err = startProcess(cmd, wo.log); err != nil {
		return nil, err
	}
	if err := Await(startTimeout, func() bool { return accepts(opts.Address) }); err != nil {
		wo.process.Kill()
		return nil, err
	}
	return wo, nil
}

// Register writes the endpoint's entry, as the endpoint would.
func (wo *Worker) Register(st *site.Store, state string) error {
	address := wo.opts.PublicAddress
	if address == "" {
		address = wo.opts.Address
	}
	entry := map[string]any{
		"service": wo.opts.Service, "address": address, "zone": wo.opts.Zone, "version": wo.opts.Software, "slots": wo.opts.Slots, "state": state,
		"coldRemainingMs": 0, "seq": 0, "born": wo.born,
	}
	if wo.opts.Model != "" {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": wo.opts.Model, "version": 1, "adapters": []string{}}}
	}
	_, err := st.Put("servers/"+wo.opts.ID, entry)
	return err
}

// Options returns the options of the endpoint.
func (wo *Worker) Options() WorkerOptions { return wo.opts }

// Process returns the process of the endpoint.
func (wo *Worker) Process() *Process { return wo.process }

// LogPath returns the path of the file in which the endpoint notes what it runs.
func (wo *Worker) LogPath() string { return wo.log }

// HasNoted reports whether the endpoint has noted a text.
func (wo *Worker) HasNoted(text string) bool {
	data, err := os.ReadFile(wo.log)
	return err == nil && strings.Contains(string(data), text)
}
