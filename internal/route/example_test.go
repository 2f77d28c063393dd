package route_test

import (
	"fmt"

	"github.com/bergamotway/bergamotway/internal/route"
)

func ExampleChoose() {
	endpoints := []route.Endpoint{
		{PrefillRate: 20_000, BacklogTokens: 30_000, ResidentTokens: 16_000},
		{PrefillRate: 20_000, Link: route.Link{StoredTokens: 16_000, Rate: 8e9}},
	}
	plan, ok := route.Choose(endpoints, route.Work{
		Tokens: 16_500, PieceTokens: 4000, BytesPerToken: 40_000, FirstTokenTarget: 0.55,
	}, 1)
	fmt.Println(ok, plan.Endpoint, plan.Strategy, plan.ImportTokens, plan.RecomputeTokens)
	// Output: true 1 import 16000 500
}
