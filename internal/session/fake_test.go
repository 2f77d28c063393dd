package session_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/service"
	standin "github.com/bergamotway/bergamotway/internal/standin/keyvalue"
	"github.com/bergamotway/bergamotway/internal/standin/plain"
)

type (
	// fakePlatform is a key-value service and host list whose faults a test can switch on.
	fakePlatform struct {
		*standin.Service
		fleet *fleet

		mu            sync.Mutex
		isDown        bool
		isWatchSilent bool
		// responsesToLose is how many of the next writes take effect without a response.
		responsesToLose int
		listedHosts     []keyvalue.ListedHost
	}

	// nodePlatform is the fakePlatform as one host sees it, with the faults of that host.
	nodePlatform struct {
		node *node
	}

	// fakeEngine is a model engine whose faults a test can switch on. It counts runs and loads,
	// and crashes if more than coldLimit runs are open within coldTime of its start.
	fakeEngine struct {
		fleet *fleet
		name  string

		mu               sync.Mutex
		restarts         int
		startedAt        time.Time
		version          string
		lastFencingToken uint64
		// checksFencing makes the engine reject load orders with a stale fencing token.
		checksFencing bool
		isLoading     bool
		cachedPieces  map[string]bool
		cancelByRun   map[string]context.CancelFunc
		peakRuns      int
		coldPeakRuns  int
		coldLimit     int
		coldTime      time.Duration
		// crashOn is a text; a prompt that contains it crashes the engine.
		crashOn string
		// cutAfter is the number of tokens after which a stream breaks; zero means never.
		cutAfter int
		// isSilent makes streams stall until the idle timeout.
		isSilent bool
		// sendsOtherRun makes streams carry the identifier of another run.
		sendsOtherRun bool
		// dropsEndMark makes streams break after the finish, where the end mark should be.
		dropsEndMark bool
		downUntil    time.Time
		answerTokens int
		crashCount   int
		loadOrders   int
		openedRuns   int
	}

	// nodeEngines is the connection of one host to all engines.
	nodeEngines struct {
		node *node
	}

	// fakeStream is the answer of a fakeEngine to one run.
	fakeStream struct {
		engine       *fakeEngine
		ctx          context.Context
		cancel       context.CancelFunc
		run          engine.Run
		prompt       string
		cachedTokens int
		startID      string
		nextSequence int
		sentTokens   int
		isPromptRead bool
		isFinished   bool
	}

	// fakeStore is a cache store whose pieces can be read as soon as they are written.
	fakeStore struct {
		fleet *fleet
		name  string

		mu     sync.Mutex
		pieces map[string]bool
		isDown bool
	}

	// nodeStores is the connection of one host to all store hosts.
	nodeStores struct {
		node *node
	}

	// fakeService is a plain service whose faults a test can switch on. Its record holds each run
	// that took place.
	fakeService struct {
		fleet  *fleet
		record *plain.Service

		mu     sync.Mutex
		isDown bool
		// breaksBeforeRun breaks the connection of each call before the call is run.
		breaksBeforeRun bool
		// breaksAfterRun breaks the connection of each call after the call was run.
		breaksAfterRun bool
		runDelay       time.Duration
		beforeRun      func()
	}

	// nodeServices is the connection of one host to the fakeService.
	nodeServices struct {
		service *fakeService
		node    *node
	}
)

const (
	prefillTokensPerSecond = 20_000
	timePerToken           = 10 * time.Millisecond
	// idleTimeout is the maximum time without a byte on a connection.
	idleTimeout   = 2 * time.Second
	startIDPrefix = "start-"
)

func newFakePlatform(fl *fleet) *fakePlatform {
	return &fakePlatform{Service: standin.New(clock.System()), fleet: fl}
}

// withLock runs f while holding the lock that guards the faults.
func (fp *fakePlatform) withLock(f func()) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	f()
}

// simulateCall takes the time of a call and fails while the platform is down.
func (fp *fakePlatform) simulateCall() error {
	time.Sleep(2 * time.Millisecond)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.isDown {
		return keyvalue.NewUnavailableError("call", errUnreachable)
	}
	return nil
}

// Get returns an entry.
func (fp *fakePlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	if err := fp.simulateCall(); err != nil {
		return keyvalue.Entry{}, err
	}
	return fp.Service.Get(ctx, purpose, key)
}

// List returns the entries whose keys have a prefix.
func (fp *fakePlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	if err := fp.simulateCall(); err != nil {
		return nil, err
	}
	return fp.Service.List(ctx, purpose, prefix)
}

// Watch waits for a change of an entry. While watches are silent, it reports no change and fails
// after bound.
func (fp *fakePlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	if err := fp.simulateCall(); err != nil {
		return keyvalue.Entry{}, err
	}
	fp.mu.Lock()
	isSilent := fp.isWatchSilent
	fp.mu.Unlock()
	expired := time.After(bound)
	if !isSilent {
		ent, err := fp.Service.Watch(ctx, purpose, key, after, bound)
		fp.mu.Lock()
		isSilent = fp.isWatchSilent
		fp.mu.Unlock()
		if !isSilent {
			return ent, err
		}
	}
	select {
	case <-ctx.Done():
	case <-expired:
	}
	return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch", errUnreachable)
}

// CompareAndSwap writes an entry. If the response is to be lost, the write takes effect but an error is
// returned.
func (fp *fakePlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	if err := fp.simulateCall(); err != nil {
		return keyvalue.Entry{}, err
	}
	ent, err := fp.Service.CompareAndSwap(ctx, purpose, wr)
	fp.mu.Lock()
	isLost := fp.responsesToLose > 0
	if isLost {
		fp.responsesToLose--
	}
	fp.mu.Unlock()
	if purpose != keyvalue.PurposeConfiguration {
		fp.fleet.logf("key-value %s: write %s, conflict %v, answer lost %v", purpose, wr.Key, err != nil, isLost)
	}
	if isLost {
		return keyvalue.Entry{}, keyvalue.NewUnavailableError("write", errUnreachable)
	}
	return ent, err
}

// checkReachable waits while the host is frozen, at most callTimeout, and fails if the host can't
// reach the platform.
func (np *nodePlatform) checkReachable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for np.node.isFrozenNow() {
		select {
		case <-ctx.Done():
			return keyvalue.NewUnavailableError("call", ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	np.node.mu.Lock()
	defer np.node.mu.Unlock()
	if np.node.isDown || np.node.cutFrom["platform"] {
		return keyvalue.NewUnavailableError("call", errUnreachable)
	}
	return nil
}

// Get returns an entry.
func (np *nodePlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	if err := np.checkReachable(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return np.node.fleet.platform.Get(ctx, purpose, key)
}

// List returns the entries whose keys have a prefix.
func (np *nodePlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	if err := np.checkReachable(ctx); err != nil {
		return nil, err
	}
	return np.node.fleet.platform.List(ctx, purpose, prefix)
}

// Watch waits for a change of an entry, and fails if the host can't reach the platform when the
// response arrives.
func (np *nodePlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	if err := np.checkReachable(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	ent, err := np.node.fleet.platform.Watch(ctx, purpose, key, after, bound)
	if checkErr := np.checkReachable(ctx); checkErr != nil {
		return keyvalue.Entry{}, checkErr
	}
	return ent, err
}

// CompareAndSwap writes an entry.
func (np *nodePlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	if err := np.checkReachable(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return np.node.fleet.platform.CompareAndSwap(ctx, purpose, wr)
}

// Hosts returns the platform's host list.
func (np *nodePlatform) Hosts(ctx context.Context) ([]keyvalue.ListedHost, error) {
	if err := np.checkReachable(ctx); err != nil {
		return nil, err
	}
	np.node.fleet.platform.mu.Lock()
	defer np.node.fleet.platform.mu.Unlock()
	return append([]keyvalue.ListedHost(nil), np.node.fleet.platform.listedHosts...), nil
}

func newFakeEngine(fl *fleet, name string, uptime time.Duration) *fakeEngine {
	return &fakeEngine{
		fleet: fl, name: name, startedAt: time.Now().Add(-uptime), version: "v1", cachedPieces: make(map[string]bool),
		cancelByRun: make(map[string]context.CancelFunc), answerTokens: 4, coldLimit: 2, coldTime: 10 * time.Second,
	}
}

// withLock runs f while holding the lock of the engine.
func (en *fakeEngine) withLock(f func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	f()
}

func (en *fakeEngine) startID() string { return fmt.Sprintf("%s%d", startIDPrefix, en.restarts) }

// crash ends all runs and clears the prefix cache. The engine is down for downtime and then in its
// cold start. The caller holds the lock.
func (en *fakeEngine) crash(downtime time.Duration) {
	en.crashCount++
	en.restarts++
	en.startedAt = time.Now().Add(downtime)
	en.downUntil = en.startedAt
	en.cachedPieces = make(map[string]bool)
	for id, cancel := range en.cancelByRun {
		cancel()
		delete(en.cancelByRun, id)
	}
	en.fleet.logf("%s crashes", en.name)
}

// openRun starts a run, or fails as an engine does that is down, has another version, is overloaded
// in its cold start or crashes on the prompt.
func (en *fakeEngine) openRun(ctx context.Context, nd *node, rn engine.Run) (dispatch.Stream, error) {
	prompt := engine.RenderPrompt(rn.Messages)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.fleet.logf("%s runs %s for %s: version %s, priority %d, resumed at %d", en.name, rn.ID, nd.name, rn.Version, rn.Priority, rn.ResumedTokens)
	if time.Now().Before(en.downUntil) {
		return nil, connection.NewDialError(en.name, errUnreachable)
	}
	if rn.Version != en.version {
		return nil, engine.NewRefusedError(en.name, http.StatusConflict)
	}
	en.openedRuns++
	ctx, cancel := context.WithCancel(ctx)
	en.cancelByRun[rn.ID] = cancel
	en.peakRuns = max(en.peakRuns, len(en.cancelByRun))
	if time.Since(en.startedAt) < en.coldTime {
		en.coldPeakRuns = max(en.coldPeakRuns, len(en.cancelByRun))
		if len(en.cancelByRun) > en.coldLimit {
			en.crash(time.Second)
			return nil, connection.NewBrokenError(en.name, false, io.ErrUnexpectedEOF)
		}
	}
	if en.crashOn != "" && strings.Contains(prompt, en.crashOn) {
		en.crash(time.Second)
		return nil, connection.NewBrokenError(en.name, false, io.ErrUnexpectedEOF)
	}
	root, _ := history.ParseName(rn.Salt)
	cachedTokens := 0
	for _, pieceName := range history.NamesFrom(root, prompt) {
		if !en.cachedPieces[pieceName.String()] {
			break
		}
		cachedTokens += history.PieceTokens
	}
	return &fakeStream{engine: en, ctx: ctx, cancel: cancel, run: rn, prompt: prompt, cachedTokens: cachedTokens, startID: en.startID(), nextSequence: rn.ResumedTokens}, nil
}

// Next returns the next token. The first call takes the time to prefill the tokens of the prompt that
// are not cached.
func (fs *fakeStream) Next() (engine.Token, error) {
	if !fs.isPromptRead {
		fs.isPromptRead = true
		prefillTime := time.Duration(float64(history.Tokens(fs.prompt)-fs.cachedTokens) / prefillTokensPerSecond * float64(time.Second))
		if err := fs.wait(prefillTime); err != nil {
			return engine.Token{}, err
		}
		fs.engine.cachePieces(fs.run.Salt, fs.prompt)
	}
	if err := fs.wait(timePerToken); err != nil {
		return engine.Token{}, err
	}
	if fs.engine.isSilentNow() {
		// The connection breaks after its idle timeout.
		_ = fs.wait(idleTimeout)
		return engine.Token{}, connection.NewBrokenError(fs.engine.name, true, io.ErrNoProgress)
	}
	fs.engine.mu.Lock()
	defer fs.engine.mu.Unlock()
	switch {
	case fs.engine.sendsOtherRun:
		return engine.Token{}, engine.NewWrongRunError(fs.run.ID, "another-run")
	case fs.engine.cutAfter > 0 && fs.sentTokens == fs.engine.cutAfter, fs.engine.dropsEndMark && fs.isFinished:
		return engine.Token{}, connection.NewBrokenError(fs.engine.name, false, io.ErrUnexpectedEOF)
	case fs.isFinished:
		return engine.Token{}, io.EOF
	case fs.nextSequence >= fs.engine.answerTokens:
		fs.isFinished = true
		return engine.Token{Sequence: fs.nextSequence, FinishReason: "stop"}, nil
	}
	tok := engine.Token{Text: fmt.Sprintf("%s.%d ", fs.run.Version, fs.nextSequence), Sequence: fs.nextSequence}
	fs.nextSequence++
	fs.sentTokens++
	return tok, nil
}

// isSilentNow returns isSilent under the lock.
func (en *fakeEngine) isSilentNow() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.isSilent
}

// wait waits for d, or fails once the run is cancelled.
func (fs *fakeStream) wait(d time.Duration) error {
	select {
	case <-fs.ctx.Done():
		return connection.NewBrokenError(fs.engine.name, false, fs.ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// Close cancels the run.
func (fs *fakeStream) Close() error {
	fs.cancel()
	fs.engine.mu.Lock()
	defer fs.engine.mu.Unlock()
	delete(fs.engine.cancelByRun, fs.run.ID)
	return nil
}

// CachedTokens returns how many tokens of the prompt were in the prefix cache.
func (fs *fakeStream) CachedTokens() int { return fs.cachedTokens }

// StartID returns the start identifier of the engine when the run began.
func (fs *fakeStream) StartID() string { return fs.startID }

// cachePieces adds the pieces of a prompt to the prefix cache.
func (en *fakeEngine) cachePieces(salt, text string) {
	root, _ := history.ParseName(salt)
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, pieceName := range history.NamesFrom(root, text) {
		en.cachedPieces[pieceName.String()] = true
	}
}

// Open starts a run on the engine at address.
func (ne *nodeEngines) Open(ctx context.Context, address string, rn engine.Run) (dispatch.Stream, error) {
	time.Sleep(time.Millisecond)
	return ne.node.fleet.engines[address].openRun(ctx, ne.node, rn)
}

// FetchLoad returns the load report of an engine.
func (ne *nodeEngines) FetchLoad(_ context.Context, address string) (engine.LoadReport, error) {
	time.Sleep(time.Millisecond)
	en := ne.node.fleet.engines[address]
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.downUntil) {
		return engine.LoadReport{}, connection.NewDialError(address, errUnreachable)
	}
	return engine.LoadReport{
		StartID: en.startID(), Version: en.version, UptimeMs: time.Since(en.startedAt).Milliseconds(),
		Running: len(en.cancelByRun), Loading: en.isLoading,
	}, nil
}

// LoadWeights makes an engine load a version, which takes 2 s. Engines that do not check fencing tokens
// accept any.
func (ne *nodeEngines) LoadWeights(ctx context.Context, address, _, version string, fencingToken uint64) error {
	en := ne.node.fleet.engines[address]
	en.mu.Lock()
	if en.checksFencing && fencingToken < en.lastFencingToken {
		en.mu.Unlock()
		en.fleet.logf("%s rejects a stale fencing token", en.name)
		return engine.NewRefusedError(address, http.StatusPreconditionFailed)
	}
	en.lastFencingToken = max(en.lastFencingToken, fencingToken)
	en.isLoading = true
	en.loadOrders++
	en.mu.Unlock()
	en.fleet.logf("%s loads %s by order of %s", en.name, version, ne.node.name)
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
	en.withLock(func() {
		en.isLoading = false
		en.version = version
	})
	en.fleet.logf("%s has %s", en.name, version)
	return nil
}

// Import copies pieces from store hosts to an engine, up to the first piece that is missing. Each
// piece takes 20 ms and counts as 400 MB.
func (ne *nodeEngines) Import(_ context.Context, address, _ string, pieces []engine.Piece) (engine.TransferResult, error) {
	en := ne.node.fleet.engines[address]
	var transferred engine.TransferResult
	for _, pc := range pieces {
		time.Sleep(20 * time.Millisecond)
		if !ne.node.fleet.stores[pc.Store].hasPiece(pc.Name) {
			break
		}
		en.withLock(func() { en.cachedPieces[pc.Name] = true })
		transferred.Pieces++
		transferred.Bytes += 400_000_000
	}
	en.fleet.logf("%s imports %d of %d pieces", en.name, transferred.Pieces, len(pieces))
	return transferred, nil
}

// Export copies pieces from an engine to a store host.
func (ne *nodeEngines) Export(_ context.Context, address, _, store string, names []string) (engine.TransferResult, error) {
	en, st := ne.node.fleet.engines[address], ne.node.fleet.stores[store]
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isDown {
		return engine.TransferResult{}, connection.NewDialError(store, errUnreachable)
	}
	for _, name := range names {
		st.pieces[name] = true
	}
	en.fleet.logf("%s exports %d pieces to %s", en.name, len(names), st.name)
	return engine.TransferResult{Pieces: len(names), Bytes: int64(len(names)) * 400_000_000}, nil
}

// Cancel cancels a run.
func (ne *nodeEngines) Cancel(_ context.Context, address, runID string) error {
	en := ne.node.fleet.engines[address]
	en.mu.Lock()
	defer en.mu.Unlock()
	en.fleet.logf("%s is ordered to cancel %s", en.name, runID)
	if cancel := en.cancelByRun[runID]; cancel != nil {
		cancel()
		delete(en.cancelByRun, runID)
	}
	return nil
}

func newFakeStore(fl *fleet, name string) *fakeStore {
	return &fakeStore{fleet: fl, name: name, pieces: make(map[string]bool)}
}

func (st *fakeStore) hasPiece(name string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.isDown && st.pieces[name]
}

// Lookup returns the pieces that the store host has, up to the first that is missing.
func (ns *nodeStores) Lookup(_ context.Context, address string, names []string) ([]engine.Piece, error) {
	time.Sleep(time.Millisecond)
	st := ns.node.fleet.stores[address]
	var out []engine.Piece
	for _, name := range names {
		if !st.hasPiece(name) {
			break
		}
		out = append(out, engine.Piece{Name: name, Store: address, Generation: 1})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isDown {
		return nil, connection.NewDialError(address, errUnreachable)
	}
	return out, nil
}

func (sv *fakeService) forNode(nd *node) *nodeServices { return &nodeServices{service: sv, node: nd} }

func (sv *fakeService) withLock(f func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	f()
}

// Do sends a call to the service, which runs it unless a fault prevents that.
func (ns *nodeServices) Do(_ context.Context, address string, rq service.Request) (service.Response, error) {
	sv := ns.service
	sv.mu.Lock()
	isServiceDown, breaksBeforeRun, breaksAfterRun, runDelay, beforeRun := sv.isDown, sv.breaksBeforeRun, sv.breaksAfterRun, sv.runDelay, sv.beforeRun
	sv.mu.Unlock()
	ns.node.mu.Lock()
	isHostDown := ns.node.isDown
	ns.node.mu.Unlock()
	switch {
	case isServiceDown || isHostDown:
		return service.Response{}, connection.NewDialError(address, errUnreachable)
	case breaksBeforeRun:
		return service.Response{}, connection.NewBrokenError(address, false, io.ErrUnexpectedEOF)
	}
	if beforeRun != nil {
		beforeRun()
	}
	receiptNumber := sv.record.RecordRun(rq.IdempotencyKey)
	sv.fleet.logf("desk runs %s %s for %s", rq.IdempotencyKey, rq.Path, ns.node.name)
	time.Sleep(5*time.Millisecond + runDelay)
	if breaksAfterRun {
		return service.Response{}, connection.NewBrokenError(address, false, io.ErrUnexpectedEOF)
	}
	return service.Response{Status: http.StatusOK, Body: fmt.Appendf(nil, "receipt %d", receiptNumber)}, nil
}
