package admission

// maxRetryTokens is the number of retries that are possible without any request
// before them, so that a service with little traffic can retry at all.
const maxRetryTokens = 10

// roundingTolerance makes up for sums of shares that are not exact in binary.
const roundingTolerance = 1e-6

// retryBudget is a bucket of retries that fills with requests.
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
