package admission

// maxRetryTokens is the capacity of the retry budget, which is full at first, so that a service
// with little traffic can retry at all.
const maxRetryTokens = 10

// roundingTolerance compensates the rounding errors of floating-point sums.
const roundingTolerance = 1e-6

// retryBudget is a token bucket for retries. Each request adds a fraction of a token.
type retryBudget struct {
	tokensPerRequest float64
	tokens           float64
}

func newRetryBudget(share float64) retryBudget {
	return retryBudget{tokensPerRequest: share, tokens: maxRetryTokens}
}

func (b *retryBudget) addRequest() {
	b.tokens = min(b.tokens+b.tokensPerRequest, maxRetryTokens)
}

func (b *retryBudget) takeRetry() bool {
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}
