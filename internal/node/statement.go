package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

// noteStatement counts and logs a change of what an endpoint says of itself.
func (no *Node) noteStatement(sc fleet.StatementChange) {
	no.deps.Meter.EndpointStatementChanged(sc.Kind.String(), sc.HasEnded)
	from := "response"
	if sc.FromPeer {
		from = "peer"
	}
	fields := logrus.Fields{
		"part": "state", "endpoint": sc.Endpoint, "service": sc.Service, "from": from, "age-ms": no.ck.Now().Sub(sc.AsOf).Milliseconds(),
	}
	var message string
	switch {
	case sc.Kind == fleet.LeavingStatement:
		message = "Endpoint is leaving."
	case sc.Kind == fleet.WaitStatement && sc.HasEnded:
		message = "Endpoint's wait ended."
	case sc.Kind == fleet.WaitStatement:
		message, fields["wait-ms"] = "Endpoint asked to wait.", sc.Wait.Milliseconds()
	case sc.Kind == fleet.BrittleStatement && sc.HasEnded:
		message = "Endpoint is no longer brittle."
	case sc.Kind == fleet.BrittleStatement:
		message = "Endpoint is brittle."
	case sc.HasEnded:
		message = "Endpoint's limit ended."
	default:
		message, fields["limit"] = "Endpoint named a limit.", sc.PerSecond
	}
	no.log.WithFields(fields).Info(message)
}

// countStatements returns how many endpoints of each service say something of themselves.
func (no *Node) countStatements() []telemetry.EndpointCount {
	var out []telemetry.EndpointCount
	for _, sc := range no.fleet.StatementCounts() {
		out = append(out, telemetry.EndpointCount{Service: sc.Service, Statement: sc.Kind.String(), Endpoints: sc.Endpoints})
	}
	return out
}

// endpointStatements returns what endpoints have said to this host, as of now.
func (no *Node) endpointStatements(now time.Time) []peering.EndpointStatement {
	var out []peering.EndpointStatement
	for _, ps := range no.fleet.Statements() {
		es := peering.EndpointStatement{Endpoint: ps.Endpoint, StartTimeMs: ps.StartTimeMs, IsLeaving: ps.IsLeaving}
		if !ps.LimitAsOf.IsZero() {
			age := now.Sub(ps.LimitAsOf).Microseconds()
			es.PerSecond, es.LimitAgeUs = ps.PerSecond, &age
		}
		if ps.WaitUntil.After(now) {
			es.WaitUs = ps.WaitUntil.Sub(now).Microseconds()
		}
		if !ps.BrittleAsOf.IsZero() {
			age := now.Sub(ps.BrittleAsOf).Microseconds()
			es.Rejections = ps.Rejections
			es.IsBrittle, es.BrittleAgeUs, es.HoldUs = ps.IsBrittle, &age, max(0, ps.HeldUntil.Sub(now).Microseconds())
		}
		out = append(out, es)
	}
	return out
}

// mergeStatements records what other hosts have heard from endpoints.
func (no *Node) mergeStatements(statements []peering.EndpointStatement, now time.Time) {
	for _, es := range statements {
		ps := fleet.PeerStatement{Endpoint: es.Endpoint, StartTimeMs: es.StartTimeMs, PerSecond: es.PerSecond, IsLeaving: es.IsLeaving}
		if es.LimitAgeUs != nil {
			ps.LimitAsOf = now.Add(-time.Duration(*es.LimitAgeUs) * time.Microsecond)
		}
		if es.BrittleAgeUs != nil {
			ps.IsBrittle, ps.Rejections, ps.BrittleAsOf = es.IsBrittle, es.Rejections, now.Add(-time.Duration(*es.BrittleAgeUs)*time.Microsecond)
			ps.HeldUntil = now.Add(time.Duration(es.HoldUs) * time.Microsecond)
		}
		if es.WaitUs > 0 {
			ps.WaitUntil = now.Add(time.Duration(es.WaitUs) * time.Microsecond)
		}
		no.fleet.MergeStatement(ps)
	}
}
