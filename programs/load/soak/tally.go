package soak

import (
	"fmt"
	"net/http"
	"sync"
)

// tally counts what befell the streams of a run. The zero value is empty. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// asked and begun are the numbers of new streams, takenUp and gone those of take-ups and of those that brought an event.
	asked, begun, takenUp, gone int
	// broken is the number of tries that brought events and were not complete, and refused that of take-ups with 503.
	broken, refused int
	// old counts the streams of each face that hosts of the old build alone answered.
	faces, old faultCounts
}

// addTry counts a try that brought some whole events.
func (ta *tally) addTry(isTakeUp bool, status, events int, complete bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	tries, brought := &ta.asked, &ta.begun
	if isTakeUp {
		tries, brought = &ta.takenUp, &ta.gone
		if status == http.StatusServiceUnavailable {
			ta.refused++
		}
	}
	*tries++
	if events > 0 {
		*brought++
		if !complete {
			ta.broken++
		}
	}
}

func (ta *tally) addFace(name string, byOldBuild bool) {
	if byOldBuild {
		ta.old.add(name)
		return
	}
	ta.faces.add(name)
}

// String returns the numbers of a run.
func (ta *tally) String() string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	share := func(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
	text := fmt.Sprintf("%d new streams, %.0f%% began; %d broken; %d take-ups, %.0f%% went on, %d refused; ORDER: ",
		ta.asked, share(ta.begun, ta.asked), ta.broken, ta.takenUp, share(ta.gone, ta.takenUp), ta.refused)
	if faces := ta.faces.String(); faces != "" {
		text += faces
	} else {
		text += "none"
	}
	if old := ta.old.String(); old != "" {
		text += "; by hosts of the old build alone: " + old
	}
	return text
}
