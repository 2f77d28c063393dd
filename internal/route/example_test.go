package route_test

import (
	"fmt"

	"github.com/bergamotway/bergamotway/internal/route"
)

func ExampleChoose() {
	endpoints := []route.Endpoint{
		{PrefillRate: 20_000, Backlog: 30_000, Resident: 16_000},
		{PrefillRate: 20_000, Link: route.Link{Stored: 16_000, Rate: 8e9}},
	}
	plan, ok := route.Choose(endpoints, route.Work{
		Tokens: 16_500, PieceTokens: 4000, BytesPerToken: 40_000, Target: 0.55,
	}, 1)
	fmt.Println(ok, plan.Endpoint, plan.Way, plan.Import, plan.Recompute)
	// Output: true 1 import 16000 500
}
