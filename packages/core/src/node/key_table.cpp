#include <rosemarymill/core/node/key_table.hpp>

namespace rosemarymill::node {

KeyDecision KeyTable::begin(const KeyId& key, const Fingerprint& fingerprint, CallId call)
{
    const auto [it, added] = m_keys.try_emplace(key);
    auto& entry = it->second;
    if (added) {
        entry.fingerprint = fingerprint;
        entry.call = call;
        return KeyDecision::Run;
    }
    if (entry.fingerprint != fingerprint)
        return KeyDecision::Reused;
    switch (entry.state) {
    case KeyState::Running:
        entry.resends.push_back(call);
        return KeyDecision::Wait;
    case KeyState::Answered:
        return KeyDecision::Answered;
    case KeyState::Unknown:
        break;
    }
    return KeyDecision::Unknown;
}

std::vector<CallId> KeyTable::answer(const KeyId& key, AttemptId attempt)
{
    auto& entry = m_keys.at(key);
    entry.state = KeyState::Answered;
    entry.answer = attempt;
    return std::exchange(entry.resends, {});
}

std::vector<CallId> KeyTable::lose(const KeyId& key)
{
    auto& entry = m_keys.at(key);
    entry.state = KeyState::Unknown;
    return std::exchange(entry.resends, {});
}

std::vector<CallId> KeyTable::abort(const KeyId& key)
{
    const auto it = m_keys.find(key);
    auto resends = std::move(it->second.resends);
    m_keys.erase(it);
    return resends;
}

void KeyTable::forgetResend(const KeyId& key, CallId call)
{
    if (const auto it = m_keys.find(key); it != m_keys.end())
        std::erase(it->second.resends, call);
}

const KeyEntry* KeyTable::find(const KeyId& key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &it->second;
}

} // namespace rosemarymill::node
