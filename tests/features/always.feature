Feature: Invariants under failure

  Each scenario checks one invariant under the failures that it names; the number
  in its tag is that of the invariant in the project brief. The checks are in
  tests/proofs.py and run real balancers.

  @always-1
  Scenario Outline: An established flow survives any planned change
    Given configurations up to 3 s old and a fabric that loses and duplicates packets
    When a balancer is replaced, an upstream joins and another drains, seed <seed>
    Then no flow is broken

    Examples:
      | seed |
      | 1    |
      | 2    |

  @always-2
  Scenario: A packet never reaches another service
    Given open flows to an upstream
    When its addresses are reassigned to another service
    Then no packet of the flows reaches that service

  @always-3
  Scenario Outline: A newly started upstream is not overloaded
    Given a service under load
    When an upstream turns cold without warning and a new one starts, seed <seed>
    Then neither is overloaded

    Examples:
      | seed |
      | 1    |
      | 3    |

  @always-4
  Scenario: A failure domain out of service gets no packets after a few seconds
    Given a balancer that is cut off from the platform
    When operators take a failure domain out of service
    Then no packet reaches its upstreams after 3 s

  @always-5
  Scenario Outline: Each request gets its own complete answer despite delays and duplicates
    Given a network that loses, delays and duplicates packets
    When callers ask for answers of fifty chunks, seed <seed>
    Then each gets the complete answer to its own request

    Examples:
      | seed |
      | 1    |
      | 2    |

  @always-6
  Scenario: A request refused as "not run" has not run
    Given seeded schedules of crashes, leaves, lost and duplicated messages
    When the schedules have run
    Then no request refused as not run has run

  @always-7
  Scenario: A non-idempotent request runs at most once
    Given seeded schedules of crashes, leaves, lost and duplicated messages
    When the schedules have run
    Then no request ran twice

  @always-7
  Scenario Outline: No request runs twice after crashes, partitions and silent upstreams
    Given a fabric that loses, delays and duplicates packets
    When balancers crash, restart and leave, an upstream goes silent and a domain is partitioned, seed <seed>
    Then no request ran twice and none refused as not run has run

    Examples:
      | seed |
      | 1    |
      | 2    |

  @always-8
  Scenario: A draining upstream gets no new work after a few seconds
    Given a platform that goes down
    When one upstream drains by a published state and one by its own report
    Then neither gets new work after 3 s and no flow is broken

  @always-9
  Scenario Outline: No request fails during a graceful shutdown
    Given a service under load
    When every balancer leaves in turn, seed <seed>
    Then every request is answered

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 4    |

  @always-10
  Scenario: An accepted configuration is in force everywhere and never reverts
    Given a balancer that is cut off from the platform
    When operators publish in quick succession and the platform serves stale values and goes down
    Then each publication is in force within 3 s and none reverts

  @always-4 @always-7 @always-9 @end_to_end
  Scenario: Real processes are killed, paused and told to leave
    Given the Cantábrico deployment as processes on loopback
    When a balancer is killed, one is paused past the heartbeat timeout, one leaves and a domain goes out of service and returns
    Then no request ran twice and none refused as not run has run
    And no flow is broken except in the domain out of service
    And requests are answered before, during and after the failures
