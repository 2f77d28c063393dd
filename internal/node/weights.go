package node

import (
	"time"

	"github.com/sirupsen/logrus"
)

// rank returns how many registered hosts precede this one in the order that all hosts use: by descending
// weight, then by name.
func (no *Node) rank() int {
	no.storeState.mu.Lock()
	defer no.storeState.mu.Unlock()
	rank := 0
	for name, pe := range no.storeState.hosts {
		if pe.Capacity > no.st.Weight || (pe.Capacity == no.st.Weight && name < no.st.Name) {
			rank++
		}
	}
	return rank
}

// recordDelay returns how long after a target version was set this host records it, if no other host has. It
// differs by rank, so that usually only one host writes.
func (no *Node) recordDelay() time.Duration { return time.Duration(no.rank()) * recordDelayPerRank }

// maxWeightsAge returns how long after the operator has selected a newer version older weights are used.
func (no *Node) maxWeightsAge() time.Duration {
	return milliseconds(no.settings().Bounds.WeightsMs * staleWeightsShare)
}

// weightsTimeLeft returns for how long a request may still begin on a version; ok is false if the version is not
// outdated.
func (no *Node) weightsTimeLeft(model string, version uint64) (d time.Duration, ok bool) {
	age, ok := no.storeState.targets.OutdatedFor(model, version)
	return milliseconds(no.settings().Bounds.WeightsMs) - weightsCancelMargin - age, ok
}

func (no *Node) logLeadership(held bool, token uint64) {
	no.log.WithFields(logrus.Fields{"held": held, "fence": token}).Info("Duty of weights changed hands.")
}
