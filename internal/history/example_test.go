package history_test

import (
	"fmt"
	"strings"

	"github.com/bergamotway/bergamotway/internal/history"
)

func ExampleNames() {
	text := strings.Repeat("steel and edge. ", 2500)
	ours := history.Names(history.Scope{Team: "hartlebury", Model: "m", Version: "v1"}, text)
	theirs := history.Names(history.Scope{Team: "cascade", Model: "m", Version: "v1"}, text)
	fmt.Println(len(ours), ours[0] == theirs[0])
	longer := history.Names(history.Scope{Team: "hartlebury", Model: "m", Version: "v1"}, text+"Which edge?")
	fmt.Println(longer[1] == ours[1])
	// Output:
	// 2 false
	// true
}
