package codec

import "github.com/godwitlink/godwitlink/core/callproxy"

// MaxCallBatchBytes limits a batch of calls to workers, or of their answers.
const MaxCallBatchBytes = 4 << 20

var (
	callBatches   = format[callproxy.CallBatch]{"batch of calls", MaxCallBatchBytes, decodeMode(maxElements)}
	answerBatches = format[callproxy.AnswerBatch]{"batch of answers", MaxCallBatchBytes, decodeMode(maxElements)}
	clockReadings = format[callproxy.ClockReading]{"clock reading", 64, decodeMode(maxElements)}
)

func EncodeCallBatch(b callproxy.CallBatch) ([]byte, error) { return callBatches.encode(b) }

func DecodeCallBatch(data []byte) (callproxy.CallBatch, error) { return callBatches.decode(data) }

func EncodeAnswerBatch(b callproxy.AnswerBatch) ([]byte, error) { return answerBatches.encode(b) }

func DecodeAnswerBatch(data []byte) (callproxy.AnswerBatch, error) { return answerBatches.decode(data) }

func EncodeClockReading(r callproxy.ClockReading) ([]byte, error) { return clockReadings.encode(r) }

func DecodeClockReading(data []byte) (callproxy.ClockReading, error) {
	return clockReadings.decode(data)
}
