from hollyspan_policy.membership import PauseGuard


def build_guard():
    guard = PauseGuard(limit=1.0, grace=3.0, now=0.0)
    guard.observe_peer(now=0.5)
    return guard


def test_running_daemon_may_own():
    guard = build_guard()
    guard.observe_tick(now=1.0)
    assert guard.may_own(now=1.4)


def test_paused_daemon_may_not_own_before_the_next_tick():
    assert not build_guard().may_own(now=30.0)


def test_message_buffered_during_the_pause_does_not_count():
    guard = build_guard()
    guard.observe_peer(now=30.0)
    guard.observe_peer(now=30.01)
    assert not guard.may_own(now=30.01)
    guard.observe_peer(now=30.2)
    assert guard.may_own(now=30.2)


def test_daemon_without_peers_may_own_after_the_grace_time():
    guard = build_guard()
    for step in range(30):
        guard.observe_tick(now=30.0 + step * 0.2)
    assert not guard.may_own(now=32.9)
    assert guard.may_own(now=35.8)


def test_started_daemon_may_not_own_before_the_first_message():
    guard = PauseGuard(limit=1.0, grace=3.0, now=0.0)
    assert not guard.may_own(now=0.1)
