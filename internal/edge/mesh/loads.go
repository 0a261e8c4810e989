package mesh

import (
	"math"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

const milli = 1000

// maxDecodedLoads limits the loads that are read from a message. A proxy sends fewer.
const maxDecodedLoads = 1024

func encodeLoads(report model.LoadReport) []*meshpb.InstanceLoad {
	var encoded []*meshpb.InstanceLoad
	for _, load := range report.Loads() {
		encoded = append(encoded, &meshpb.InstanceLoad{
			Instance:     string(load.Instance()),
			DataCenter:   string(load.DataCenter()),
			Born:         load.Born(),
			BusyMilli:    toMilli(load.Busy()),
			OfferedMilli: toMilli(load.Offered()),
			Refused:      uint32(load.Refused()),
			SpanMs:       milliseconds(load.Span()),
			AgeMs:        milliseconds(load.Age()),
		})
	}
	return encoded
}

// decodeLoads decodes the loads of a message. A proxy that does not report loads sends the
// sequence 0.
func decodeLoads(sequence uint64, encoded []*meshpb.InstanceLoad) model.LoadReport {
	encoded = encoded[:min(len(encoded), maxDecodedLoads)]
	var loads []model.InstanceLoad
	for _, load := range encoded {
		loads = append(loads, model.NewInstanceLoad(model.InstanceLoadSpec{
			Instance:   model.InstanceID(load.GetInstance()),
			DataCenter: model.DataCenter(load.GetDataCenter()),
			Born:       load.GetBorn(),
			Busy:       float64(load.GetBusyMilli()) / milli,
			Offered:    float64(load.GetOfferedMilli()) / milli,
			Refused:    int(load.GetRefused()),
			Span:       fromMilliseconds(load.GetSpanMs()),
			Age:        fromMilliseconds(load.GetAgeMs()),
		}))
	}
	return model.NewLoadReport(sequence, loads)
}

// toMilli returns a value times 1,000, within the range of the message.
func toMilli(value float64) uint32 {
	return uint32(min(max(math.Round(value*milli), 0), math.MaxUint32))
}
