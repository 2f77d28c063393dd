// Package retry bounds the retries of each class of work to a share of its own requests.
package retry

import "sync"

const (
	// reserve is how many retries a class may always make, so that a quiet class can retry.
	reserve = 3
	// window is how many requests the share is taken over.
	window = 1000
)

type (
	// Budget counts requests and retries by class. The zero value is usable. It is safe for
	// concurrent use.
	Budget struct {
		mu      sync.Mutex
		classes map[string]*account
	}

	account struct {
		credit float64
	}
)

// Request counts one first attempt, which earns share of a retry.
func (bu *Budget) Request(class string, share float64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(class)
	ac.credit = min(ac.credit+share, reserve+share*window)
}

// Take reports whether the class may retry once more, and counts the retry if so.
func (bu *Budget) Take(class string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	ac := bu.account(class)
	if ac.credit < 1 {
		return false
	}
	ac.credit--
	return true
}

func (bu *Budget) account(class string) *account {
	if bu.classes == nil {
		bu.classes = make(map[string]*account)
	}
	ac := bu.classes[class]
	if ac == nil {
		ac = &account{credit: reserve}
		bu.classes[class] = ac
	}
	return ac
}
