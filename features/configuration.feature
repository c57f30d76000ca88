Feature: An accepted configuration patch is never lost or undone

  Background:
    Given configuration number 1 with service swaps

  Scenario: Two operators send patches against the same configuration number
    When operator ana sends a patch against number 1 that adds service photos
    And operator ben sends a patch against number 1 that adds service reservations
    Then the patch of ana is accepted as number 2
    And the patch of ben is refused as stale because the current number is 2
    And the configuration has the services swaps, photos
    When operator ben sends a patch against number 2 that adds service reservations
    Then the patch of ben is accepted as number 3
    And the configuration has the services swaps, photos, reservations

  Scenario: An operator sends a patch again because the answer was lost
    When operator ana sends a patch against number 1 that adds service photos
    And operator ben sends a patch against number 2 that adds service reservations
    And operator ana sends the same patch again
    Then the patch of ana is accepted as number 2
    And the configuration has number 3

  Scenario: A patch with one invalid operation changes nothing
    When operator ana sends a patch against number 1 that adds service photos and removes service unknown
    Then the patch of ana is refused as invalid
    And the configuration has number 1
    And the configuration has the services swaps

  Scenario: An instance receives an old configuration after a newer one
    Given an instance that has configuration number 1 in force
    When operator ana sends a patch against number 1 that adds service photos
    And the instance receives the current configuration
    And the instance receives configuration number 1 late
    Then the instance has configuration number 2 in force
