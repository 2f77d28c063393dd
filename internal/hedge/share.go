package hedge

import "sync"

// maxCredit bounds the credit that an account saves up, in attempts, so that a calm hour does not allow a burst of them.
const maxCredit = 2

type (
	// Limits limits the extra attempts, as shares of the requests. The zero value allows none.
	Limits struct {
		// Share is the limit for each service, as a share of its requests.
		Share float64
		// Routes holds the limits of single routes, as shares of their requests. These requests do not count for their service.
		Routes map[string]float64
	}

	// shares keeps the extra attempts of a host within the limits. Accounts begin without credit, so that the attempts of any
	// number of hosts stay within the share of their requests together. It is safe for concurrent use.
	shares struct {
		mu       sync.Mutex
		limits   Limits
		accounts map[account]float64
	}

	// account is a service, or a route with a limit of its own.
	account struct {
		name    string
		isRoute bool
	}
)

func (sh *shares) setLimits(limits Limits) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.limits = limits
	clear(sh.accounts)
}

// recordRequest adds the share of a request to the credit of its account.
func (sh *shares) recordRequest(service, route string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac, share := sh.account(service, route)
	if share <= 0 {
		return
	}
	if sh.accounts == nil {
		sh.accounts = make(map[account]float64)
	}
	sh.accounts[ac] = min(sh.accounts[ac]+share, maxCredit)
}

// isAllowed reports whether requests of a route may have extra attempts at all.
func (sh *shares) isAllowed(service, route string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	_, share := sh.account(service, route)
	return share > 0
}

// hasCredit reports whether there is credit for one extra attempt.
func (sh *shares) hasCredit(service, route string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac, _ := sh.account(service, route)
	return sh.accounts[ac] >= 1
}

// take uses up the credit for one extra attempt. It reports false if there is none.
func (sh *shares) take(service, route string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac, _ := sh.account(service, route)
	if sh.accounts[ac] < 1 {
		return false
	}
	sh.accounts[ac]--
	return true
}

// account returns the account of a request and its share. The caller holds the lock.
func (sh *shares) account(service, route string) (account, float64) {
	if share, ok := sh.limits.Routes[route]; ok {
		return account{name: route, isRoute: true}, share
	}
	return account{name: service}, sh.limits.Share
}
