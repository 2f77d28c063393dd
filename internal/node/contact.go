package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/contact"
)

// noteStandstill notes that the process has stood still, and may have missed what others did meanwhile.
func (no *Node) noteStandstill(d time.Duration) {
	no.storeState.contact.Interrupt()
	no.storeState.releases.Interrupt()
	no.peerContact.Interrupt()
	fields := no.contactFields()
	fields["ms"] = d.Milliseconds()
	no.log.WithFields(fields).Warn("Process stood still.")
}

// contactFields returns log fields that tell how old what the host knows of the metadata store and of other hosts is.
func (no *Node) contactFields() logrus.Fields {
	return logrus.Fields{
		"store-age-ms": ageMilliseconds(no.storeState.contact), "store-revision": no.storeState.seen().String(),
		"peers-age-ms": ageMilliseconds(no.peerContact),
	}
}

// ageMilliseconds returns the age of what is known of a source, or -1 if it was never complete.
func ageMilliseconds(co *contact.Contact) int64 {
	age, ok := co.Age()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}
