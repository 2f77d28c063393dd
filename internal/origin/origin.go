// Package origin remembers which software version began each stream, so that a stream that a client takes up goes on only at
// that version.
//
// A host tells a few other hosts of each stream, chosen by a hash of its key, before it forwards the first event. Any host
// then finds the origin of a stream by asking the same few, also after the host that began it has been killed.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// keeperCount is the number of hosts that are told of a stream, askedCount that of the hosts that are asked: more, since the
	// host that began the stream is left out where it ranks among them, and another may have joined since.
	keeperCount = 3
	askedCount  = 5
	// agreeingCount is the number of hosts that have to agree where the metadata store confirms nothing to any of them: so many
	// that hosts that are cut off together hardly ever ask only each other.
	agreeingCount = 16
	// resendInterval is the pause after which hosts that have not answered are asked again, since datagrams may be lost.
	// findTimeout bounds the time for all answers, and soleFindTimeout that while only one version is known.
	resendInterval  = 60 * time.Millisecond
	findTimeout     = 250 * time.Millisecond
	soleFindTimeout = 90 * time.Millisecond
	// confirmTimeout bounds the time for a confirmation by the metadata store, and vouchTimeout that for the others' vouches,
	// which they confirm.
	confirmTimeout = 250 * time.Millisecond
	vouchTimeout   = 400 * time.Millisecond
	// maxStreams bounds the streams of one generation of a table. No further ones are remembered then, so that new ones do not
	// push out those that clients may take up.
	maxStreams = 1 << 15
	// maxOriginsPerMessage keeps a message within a packet.
	maxOriginsPerMessage = 16
)

type (
	// Stream identifies a stream.
	Stream struct {
		// Team is the name of the client's team; empty if there is none.
		Team string
		// Request is the identifier of the request that brought the first event.
		Request string
	}

	// Origin is what began a stream.
	Origin struct {
		// Service is the name of the service.
		Service string
		// Software is the version of the endpoint's software; empty if it is not known.
		Software string
	}

	// Options configures a Directory. The zero value is a directory of one host, for services with one software version.
	Options struct {
		// Clock is the source of time; nil means the system clock.
		Clock clock.Clock
		// Host is the name of this host, and Hosts returns the names of all hosts; nil means that there are no others.
		Host  string
		Hosts func() []string
		// Send sends a message to another host. It may be lost.
		Send func(host string, data []byte)
		// Sole returns the only software version that a stream of a service can have begun at; ok is false if there may be
		// several. Nil means that each service has one.
		Sole func(service string) (software string, ok bool)
		// Confirm returns nil once what Sole returns of a service includes a reading of the metadata store that began after the
		// call. Nil means that Sole always knows.
		Confirm func(ctx context.Context, service string) error
		// Retention is how long a stream is remembered at least; zero means a minute.
		Retention time.Duration
		// Ledger records the streams of which other hosts are told; nil means that nothing does.
		Ledger *Ledger
	}

	// Directory finds the origins of streams. It is safe for concurrent use.
	Directory struct {
		opts Options

		mu sync.Mutex
		// own holds the streams that this host has begun, kept those of which other hosts have told it.
		own, kept generations
		// shared holds the services of whose streams this host tells others.
		shared map[string]bool
		// queries holds the open queries by their numbers.
		queries   map[uint64]*query
		lastQuery uint64
		// vouches holds the answers to questions of others that want a confirmation.
		vouches map[vouchKey]*vouch
	}

	// streamKey identifies a stream in messages and tables.
	streamKey [16]byte
)

// New returns a directory that remembers no streams.
func New(opts Options) *Directory {
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	if opts.Retention == 0 {
		opts.Retention = time.Minute
	}
	if opts.Sole == nil {
		opts.Sole = func(string) (string, bool) { return "", true }
	}
	if opts.Confirm == nil {
		opts.Confirm = func(context.Context, string) error { return nil }
	}
	return &Directory{
		opts: opts, shared: make(map[string]bool), queries: make(map[uint64]*query), vouches: make(map[vouchKey]*vouch),
	}
}

// IsSole reports whether all streams of a service go on at one software version.
func (di *Directory) IsSole(service string) bool {
	_, ok := di.opts.Sole(service)
	return ok
}

// IsUnversioned reports whether the endpoints of a service report no software version.
func (di *Directory) IsUnversioned(service string) bool {
	software, ok := di.opts.Sole(service)
	return ok && software == ""
}

// Record remembers what began a stream, and tells other hosts unless the service has only one software version. It is called
// before the first event is forwarded.
func (di *Directory) Record(st Stream, or Origin) {
	key := st.key()
	isSole := di.IsSole(or.Service)
	di.mu.Lock()
	now := di.opts.Clock.Now()
	di.own.put(key, or, now, di.opts.Retention)
	var told map[streamKey]Origin
	switch {
	case isSole:
		delete(di.shared, or.Service)
	case di.shared[or.Service]:
		told = map[streamKey]Origin{key: or}
	default:
		// Streams from before a second version was known may be taken up from now on, too.
		di.shared[or.Service] = true
		told = di.own.ofService(or.Service)
	}
	di.mu.Unlock()
	di.tell(told)
	if di.opts.Ledger != nil {
		di.opts.Ledger.add(told)
	}
}

// key returns the key of a stream. Streams of different teams have different keys.
func (st Stream) key() streamKey {
	sum := sha256.Sum256([]byte(st.Team + "\x00" + st.Request))
	return streamKey(sum[:len(streamKey{})])
}

// hash returns the hash by which the hosts for a stream are chosen.
func (sk streamKey) hash() uint64 { return binary.BigEndian.Uint64(sk[:]) }

// get returns the origin of a stream that this host remembers. The caller holds the lock.
func (di *Directory) get(key streamKey) (Origin, bool) {
	own, isOwn := di.own.get(key, di.opts.Clock.Now(), di.opts.Retention)
	kept, isKept := di.kept.get(key, di.opts.Clock.Now(), di.opts.Retention)
	if isOwn && isKept {
		return own.merge(kept), true
	}
	if isOwn {
		return own, true
	}
	return kept, isKept
}

// merge returns the origin of a stream that has been recorded with two origins.
func (or Origin) merge(other Origin) Origin {
	if or != other {
		return Origin{Service: or.Service}
	}
	return or
}

// keepers returns the other hosts among the first count for a stream.
func (di *Directory) keepers(key streamKey, count int) []string {
	if di.opts.Hosts == nil {
		return nil
	}
	hosts := slices.DeleteFunc(di.opts.Hosts(), func(host string) bool { return host == di.opts.Host })
	return rendezvous.First(key.hash(), hosts, count)
}
