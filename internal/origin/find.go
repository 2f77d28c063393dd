package origin

import (
	"context"
	"time"
)

type (
	// Source is from where a host knows what began a stream.
	Source string

	// Finding is what a host knows of the beginning of a stream.
	Finding struct {
		Origin Origin
		Source Source
		// Hosts are the other hosts that it comes from.
		Hosts []string
		// Age is the time since the reading of the metadata store that confirmed it began; zero if there was none.
		Age time.Duration
		// IsSole is set if the service has only one software version, or none has one.
		IsSole bool
	}
)

const (
	// Unknown means that the origin is not known, and there may be several.
	Unknown Source = "unknown"
	// Remembered means that the host has begun the stream, or was told of it.
	Remembered Source = "remembered"
	// Answered means that another host has answered.
	Answered Source = "answered"
	// Relayed means that the host that has passed the request on knew it.
	Relayed Source = "relayed"
	// OnlyVersion means that the service has one software version, which the metadata store has confirmed.
	OnlyVersion Source = "only-version"
	// Vouched means that the service has one software version, which the metadata store has confirmed to another host.
	Vouched Source = "vouched"
	// Agreed means that all hosts that were asked hold that the service has one and the same software version.
	Agreed Source = "agreed"
	// Alone means that the host holds that the service has one software version, and there are no other hosts.
	Alone Source = "alone"
)

// IsKnown reports whether the stream may go on at endpoints with the software version of the origin. Where no endpoint reports a
// version, all count as having the same.
func (fi Finding) IsKnown() bool { return fi.Origin.Software != "" || fi.IsSole }

// Find returns what began a stream of a service. It asks other hosts if this one does not know. Where nobody remembers the stream, it
// may go on if the service has only one software version, and someone vouches for that.
func (di *Directory) Find(ctx context.Context, st Stream, service string) Finding {
	key := st.key()
	unknown := Finding{Origin: Origin{Service: service}, Source: Unknown}
	remembered := unknown
	if st.Request != "" {
		di.mu.Lock()
		or, ok := di.get(key)
		di.mu.Unlock()
		if ok {
			remembered = Finding{Origin: or, Source: Remembered}
		}
	}
	if remembered.Origin.Software != "" {
		return remembered
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	software, isSole := di.opts.Sole(service)
	var confirmed <-chan time.Duration
	timeout := findTimeout
	if isSole {
		confirmed, timeout = di.confirm(ctx, service), soleFindTimeout
	}
	var first poll
	if st.Request != "" && remembered.Source == Unknown {
		first = di.ask(ctx, di.keepers(key, askedCount), message{Key: encodeKey(key), Service: service}, key, timeout, nil)
		if first.isFound {
			remembered = di.adopt(key, first)
		}
	}
	// What began without a software version may go on only where there are none.
	if remembered.Origin.Software != "" || !isSole || (remembered.Source != Unknown && software != "") {
		return remembered
	}
	if first.isContradicted(software) {
		return unknown
	}
	age, isConfirmed := await(confirmed, di.opts.Clock.After(max(0, soleFindTimeout-first.took)))
	if !isConfirmed {
		return di.findVouched(ctx, key, Origin{Service: service, Software: software}, confirmed)
	}
	if now, ok := di.opts.Sole(service); ok {
		return Finding{Origin: Origin{Service: service, Software: now}, Source: OnlyVersion, IsSole: true, Age: age}
	}
	if first.hasAllAnswers() || st.Request == "" {
		return unknown
	}
	if second := di.ask(ctx, di.keepers(key, askedCount), message{Key: encodeKey(key), Service: service}, key, findTimeout, nil); second.isFound {
		return di.adopt(key, second)
	}
	return unknown
}

// findVouched asks others whether a service has only one software version, while the metadata store does not confirm it to this host.
// First it asks the hosts that may know the origin; if the store confirms it to none of them, it takes more hosts that agree.
func (di *Directory) findVouched(ctx context.Context, key streamKey, sole Origin, confirmed <-chan time.Duration) Finding {
	unknown := Finding{Origin: Origin{Service: sole.Service}, Source: Unknown}
	hosts := di.keepers(key, agreeingCount)
	count := min(askedCount, len(hosts))
	for _, asked := range [][]string{hosts[:count], hosts[count:]} {
		po := di.ask(ctx, asked, message{Key: encodeKey(key), Service: sole.Service, Confirm: true}, key, vouchTimeout, confirmed)
		// What this host holds may have changed meanwhile.
		software, isSole := di.opts.Sole(sole.Service)
		switch {
		case po.isFound:
			return di.adopt(key, po)
		case !isSole || software != sole.Software || po.isContradicted(software):
			return unknown
		case po.isConfirmed:
			return Finding{Origin: sole, Source: OnlyVersion, IsSole: true, Age: po.age}
		case len(po.vouchers) > 0:
			return Finding{Origin: sole, Source: Vouched, IsSole: true, Hosts: po.vouchers, Age: po.took}
		case len(po.beliefs) < po.asked:
			return unknown
		}
	}
	if len(hosts) == 0 {
		// Nobody else can have begun a stream since this host read that there is one version.
		return Finding{Origin: sole, Source: Alone, IsSole: true}
	}
	return Finding{Origin: sole, Source: Agreed, IsSole: true, Hosts: hosts}
}

// adopt remembers what another host has answered.
func (di *Directory) adopt(key streamKey, po poll) Finding {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.kept.put(key, po.origin, di.opts.Clock.Now(), di.opts.Retention)
	return Finding{Origin: po.origin, Source: Answered, Hosts: []string{po.foundAt}}
}

// confirm lets the metadata store confirm what this host holds of a service. The channel receives the time that it took, or is
// closed if that failed.
func (di *Directory) confirm(ctx context.Context, service string) <-chan time.Duration {
	done := make(chan time.Duration, 1)
	ctx, cancel := context.WithCancel(ctx)
	began := di.opts.Clock.Now()
	expired := di.opts.Clock.After(confirmTimeout)
	ended := make(chan struct{})
	go func() {
		select {
		case <-expired:
		case <-ended:
		}
		cancel()
	}()
	go func() {
		defer close(ended)
		defer close(done)
		if di.opts.Confirm(ctx, service) == nil {
			done <- di.opts.Clock.Now().Sub(began)
		}
	}()
	return done
}

// await returns what arrives before the time is over; ok is false if nothing does.
func await(confirmed <-chan time.Duration, expired <-chan time.Time) (age time.Duration, ok bool) {
	select {
	case age, ok = <-confirmed:
	case <-expired:
	}
	return age, ok
}
