#include "demand_codec.h"

#include <google/protobuf/unknown_field_set.h>
#include <optional>

namespace lanemoor::jobs {

namespace {

using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

constexpr int demandField = 9; // Of RelayFrame.
constexpr int queueField = 1;
constexpr int organisationField = 2;
constexpr int admittedField = 3;
constexpr int refusedField = 4;
constexpr int workField = 5;

void write(UnknownFieldSet& message, const EntryDemand& demand)
{
    message.AddLengthDelimited(queueField, demand.queue);
    message.AddLengthDelimited(organisationField, demand.organisation);
    message.AddVarint(admittedField, demand.admitted);
    message.AddVarint(refusedField, demand.refused);
    message.AddVarint(workField, demand.workMillis);
}

void read(const UnknownField& field, EntryDemand& demand)
{
    if (field.type() == UnknownField::TYPE_LENGTH_DELIMITED && field.number() == queueField)
        demand.queue = field.length_delimited();
    else if (field.type() == UnknownField::TYPE_LENGTH_DELIMITED && field.number() == organisationField)
        demand.organisation = field.length_delimited();
    else if (field.type() == UnknownField::TYPE_VARINT && field.number() == admittedField)
        demand.admitted = static_cast<std::uint32_t>(field.varint());
    else if (field.type() == UnknownField::TYPE_VARINT && field.number() == refusedField)
        demand.refused = static_cast<std::uint32_t>(field.varint());
    else if (field.type() == UnknownField::TYPE_VARINT && field.number() == workField)
        demand.workMillis = field.varint();
}

std::optional<EntryDemand> readDemand(const UnknownField& field)
{
    UnknownFieldSet message;
    if (field.number() != demandField || field.type() != UnknownField::TYPE_LENGTH_DELIMITED || !message.ParseFromString(field.length_delimited()))
        return std::nullopt;
    EntryDemand demand;
    for (int i = 0; i < message.field_count(); ++i)
        read(message.field(i), demand);
    return demand;
}

} // namespace

void addDemand(wire::RelayFrame& frame, const std::vector<EntryDemand>& demands)
{
    UnknownFieldSet* fields = wire::RelayFrame::GetReflection()->MutableUnknownFields(&frame);
    for (const EntryDemand& demand : demands) {
        UnknownFieldSet message;
        write(message, demand);
        static_cast<void>(message.SerializeToString(fields->AddLengthDelimited(demandField)));
    }
}

std::vector<EntryDemand> demandOf(const wire::RelayFrame& frame)
{
    std::vector<EntryDemand> demands;
    const UnknownFieldSet& fields = wire::RelayFrame::GetReflection()->GetUnknownFields(frame);
    for (int i = 0; i < fields.field_count(); ++i) {
        if (std::optional<EntryDemand> demand = readDemand(fields.field(i)))
            demands.push_back(std::move(*demand));
    }
    return demands;
}

} // namespace lanemoor::jobs
