// Package retry limits retries to a share of the requests that they belong to.
package retry

import "sync"

const (
	// initialRetryCredit is the credit of a class before its first request, in retries, so that a class
	// with few requests can retry as well. It also raises the limit of the credit.
	initialRetryCredit = 3
	// creditWindowRequests is the number of requests whose credit a class can accumulate.
	creditWindowRequests = 1000
)

type (
	// Budget grants retries by class, in proportion to the requests of the class. The zero value is
	// usable. It is safe for concurrent use.
	Budget struct {
		mu      sync.Mutex
		classes map[string]*account
	}

	// account holds the unused credit of a class, in retries.
	account struct {
		credit float64
	}
)

// RecordRequest counts the first attempt of a request, which adds share to the credit of its class.
func (bu *Budget) RecordRequest(class string, share float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(class)
	ac.credit = min(ac.credit+share, initialRetryCredit+share*creditWindowRequests)
}

// TryRetry reports whether the class has credit for a retry, and uses it up if so.
func (bu *Budget) TryRetry(class string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(class)
	if ac.credit < 1 {
		return false
	}
	ac.credit--
	return true
}

// account returns the account of a class, which it creates on first use.
func (bu *Budget) account(class string) *account {
	if bu.classes == nil {
		bu.classes = make(map[string]*account)
	}
	ac := bu.classes[class]
	if ac == nil {
		ac = &account{credit: initialRetryCredit}
		bu.classes[class] = ac
	}
	return ac
}
