#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/ledger/machine.hpp>

#include <utility>

namespace rosemarymill::ledger {

namespace {

/// Fixed part of an encoded command in bytes.
constexpr std::size_t commandOverhead = 96;

std::size_t keyBytes(const Key& key) { return key.account.text().size() + key.text.size(); }

} // namespace

Outcome Machine::apply(agreement::Index, const Command& command)
{
    return std::visit([&](const auto& it) { return handle(it); }, command);
}

void Machine::restore(Snapshot snapshot)
{
    m_state = std::move(snapshot);
    m_reserved.clear();
    m_byAge.clear();
    m_bodies.clear();
    m_bodyBytes = 0;
    for (const auto& [key, record] : m_state.records)
        index(key, record);
}

std::size_t Machine::estimatedBytes(const Command& command)
{
    const Overloaded variable { [](const Complete& it) { return keyBytes(it.key) + it.answer.body.size(); },
        [](const Advance&) { return std::size_t { 0 }; }, [](const auto& it) { return keyBytes(it.key); } };
    return commandOverhead + std::visit(variable, command);
}

const Record* Machine::find(const Key& key) const
{
    const auto it = m_state.records.find(key);
    return it == m_state.records.end() ? nullptr : &it->second;
}

Outcome Machine::handle(const Reserve& command)
{
    const auto [it, added] = m_state.records.try_emplace(command.key);
    auto& record = it->second;
    if (!added)
        return reserveExisting(command, record);
    record = { KeyState::Reserved, command.fingerprint, command.token, {}, false, m_state.now };
    index(command.key, record);
    return { Decision::Run, std::nullopt };
}

Outcome Machine::reserveExisting(const Reserve& command, Record& record)
{
    if (record.state == KeyState::Aborted) {
        if (record.token == command.token)
            return { Decision::TokenAborted, std::nullopt };
        unindex(command.key, record);
        record = { KeyState::Reserved, command.fingerprint, command.token, {}, false, m_state.now };
        index(command.key, record);
        return { Decision::Run, std::nullopt };
    }
    if (record.fingerprint != command.fingerprint)
        return { Decision::Reused, std::nullopt };
    if (record.state == KeyState::Reserved)
        return { record.token == command.token ? Decision::Run : Decision::Running, std::nullopt };
    if (record.state == KeyState::Answered && !record.bodyDropped)
        return { Decision::Answered, record.answer };
    return { Decision::Unknown, std::nullopt };
}

Outcome Machine::handle(const Complete& command)
{
    auto* record = findHeldBy(command.key, command.token);
    if (!record)
        return { Decision::NotHeld, std::nullopt };
    if (record->state == KeyState::Answered)
        return { Decision::Done, std::nullopt };
    unindex(command.key, *record);
    record->state = KeyState::Answered;
    record->changedAt = m_state.now;
    record->answer = command.answer;
    record->bodyDropped = command.answer.body.size() > maxKeptBodyBytes;
    if (record->bodyDropped)
        record->answer.body.clear();
    index(command.key, *record);
    evictOldBodies();
    return { Decision::Done, std::nullopt };
}

Outcome Machine::handle(const Abort& command)
{
    auto* record = findHeldBy(command.key, command.token);
    if (!record) {
        if (m_state.records.contains(command.key))
            return { Decision::NotHeld, std::nullopt };
        // The Reserve with this token may still be in flight, so the token is recorded as aborted.
        record = &m_state.records[command.key];
        record->token = command.token;
        record->state = KeyState::Aborted;
        record->changedAt = m_state.now;
        index(command.key, *record);
        return { Decision::Done, std::nullopt };
    }
    if (record->state == KeyState::Reserved)
        changeState(command.key, *record, KeyState::Aborted);
    return { record->state == KeyState::Aborted ? Decision::Done : Decision::NotHeld, std::nullopt };
}

Outcome Machine::handle(const Lose& command)
{
    auto* record = findHeldBy(command.key, command.token);
    if (!record || record->state == KeyState::Aborted)
        return { Decision::NotHeld, std::nullopt };
    if (record->state == KeyState::Reserved)
        changeState(command.key, *record, KeyState::Unknown);
    return { Decision::Done, std::nullopt };
}

Outcome Machine::handle(const Advance& command)
{
    m_state.now += command.seconds;
    while (!m_byAge.empty() && m_byAge.begin()->first + retentionSeconds <= m_state.now) {
        const auto key = m_byAge.begin()->second;
        expire(key);
    }
    return { Decision::Done, std::nullopt };
}

void Machine::expire(const Key& key)
{
    const auto it = m_state.records.find(key);
    // A key that is still reserved after its retention has lost its dispatcher, so it is unknown whether the call ran.
    if (it->second.state == KeyState::Reserved) {
        changeState(key, it->second, KeyState::Unknown);
        return;
    }
    unindex(key, it->second);
    m_state.records.erase(it);
}

Record* Machine::findHeldBy(const Key& key, const Token& token)
{
    const auto it = m_state.records.find(key);
    return it == m_state.records.end() || it->second.token != token ? nullptr : &it->second;
}

void Machine::changeState(const Key& key, Record& record, KeyState state)
{
    unindex(key, record);
    record.state = state;
    record.changedAt = m_state.now;
    index(key, record);
}

void Machine::index(const Key& key, const Record& record)
{
    m_byAge.emplace(record.changedAt, key);
    if (record.state == KeyState::Reserved)
        m_reserved.insert(key);
    if (record.state == KeyState::Answered && !record.bodyDropped) {
        m_bodies.emplace(record.changedAt, key);
        m_bodyBytes += record.answer.body.size();
    }
}

void Machine::unindex(const Key& key, const Record& record)
{
    m_reserved.erase(key);
    m_byAge.erase({ record.changedAt, key });
    if (m_bodies.erase({ record.changedAt, key }) != 0)
        m_bodyBytes -= record.answer.body.size();
}

void Machine::evictOldBodies()
{
    while (m_bodyBytes > keptBodiesBudgetBytes) {
        const auto key = m_bodies.begin()->second;
        auto& record = m_state.records.at(key);
        unindex(key, record);
        record.answer.body.clear();
        record.answer.body.shrink_to_fit();
        record.bodyDropped = true;
        index(key, record);
    }
}

} // namespace rosemarymill::ledger
