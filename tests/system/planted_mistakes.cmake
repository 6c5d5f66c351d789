# Mistakes that tests must detect: a copy of one source with one piece of text replaced is linked with the tests' objects,
# ahead of the library with the correct source. Each passes if the test reports the named invariant as broken.

function(planted_mistake name)
  cmake_parse_arguments(PLANTED "" "SOURCE;FROM;TO;OBJECTS;RUN;LIBRARY;TOLD" "" ${ARGN})
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${PLANTED_SOURCE})
  file(READ ${CMAKE_SOURCE_DIR}/${PLANTED_SOURCE} text)
  string(FIND "${text}" "${PLANTED_FROM}" first)
  string(FIND "${text}" "${PLANTED_FROM}" last REVERSE)
  if(first EQUAL -1 OR NOT first EQUAL last)
    message(FATAL_ERROR "planted mistake ${name}: its text must stand once in ${PLANTED_SOURCE}")
  endif()
  string(REPLACE "${PLANTED_FROM}" "${PLANTED_TO}" text "${text}")
  set(copy ${CMAKE_CURRENT_BINARY_DIR}/planted/${name}.cpp)
  set(before "")
  if(EXISTS ${copy})
    file(READ ${copy} before)
  endif()
  if(NOT before STREQUAL text)
    file(WRITE ${copy} "${text}")
  endif()
  add_executable(planted_${name} ${copy} $<TARGET_OBJECTS:${PLANTED_OBJECTS}>)
  target_include_directories(planted_${name} PRIVATE ${IVYGW_SYSTEM_LAYERS})
  target_link_libraries(planted_${name} PRIVATE ${PLANTED_LIBRARY} ${CPPUTEST_LIBRARY})
  target_compile_options(planted_${name} PRIVATE -Wno-unused-parameter)  # a mistake may leave one over
  add_test(NAME planted_${name} COMMAND planted_${name} -sn ${PLANTED_RUN})
  set_tests_properties(planted_${name} PROPERTIES PASS_REGULAR_EXPRESSION "${PLANTED_TOLD}")
endfunction()

function(planted_in_lifecycle name)
  planted_mistake(${name} OBJECTS system_lifecycle_search_tests_objects LIBRARY system_request_lifecycle ${ARGN})
endfunction()

planted_in_lifecycle(id_not_checked SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "facts.own_id = facts.has_id && reply.attempt_id == expected_id" TO "facts.own_id = facts.has_id"
  TOLD "broken: mixed")
planted_in_lifecycle(kept_after_doubt SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "if (classification.trusted && event.reply.reusable" TO "if (event.reply.reusable"
  TOLD "broken: doubt")
planted_in_lifecycle(not_done_after_a_partial_write SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "if (event.bytes_written)" TO "if (event.bytes_written && request->idempotent)"
  TOLD "broken: (twice|refused)")
planted_in_lifecycle(refusal_of_a_stranger_believed SOURCE system/decisions/request_lifecycle/answer_classification.cpp RUN TwoRequestsThatMayRunOnce
  FROM "if (!answer.sole_request) return Untrusted(Evidence::kUnprovenRejection)" TO ""
  TOLD "broken: (twice|refused)")
planted_in_lifecycle(promise_for_what_may_have_run SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "    if (std::optional<NotDone> proof = request->record.NothingDone())"
  TO "    if (std::optional<NotDone> proof = ExecutionRecord().NothingDone())"
  TOLD "broken: refused")
planted_in_lifecycle(late_timer_on_a_new_attempt SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "connection->attempt != event.attempt || connection->open" TO "!connection->request.valid()"
  TOLD "broken: late")
planted_in_lifecycle(retry_of_what_may_run_only_once SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "return request.idempotent || request.record.NothingDone().has_value()" TO "return true"
  TOLD "broken: twice")
planted_in_lifecycle(budget_ignored SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoThatMayBeRepeated
  FROM "return !is_retry || policy_->MayRetry(now, request.service)" TO "return is_retry || !is_retry"
  TOLD "broken: budget")
planted_in_lifecycle(deadline_after_the_answer_has_begun SOURCE system/decisions/request_lifecycle/lifecycle.cpp RUN TwoRequestsThatMayRunOnce
  FROM "if (!request || request->phase == Phase::kStreaming) {" TO "if (!request) {"
  TOLD "broken: (late|answered once)")

planted_mistake(answer_to_an_earlier_life SOURCE system/decisions/call_routing/pending_calls.cpp
  OBJECTS system_pending_calls_tests_objects LIBRARY system_call_routing RUN EveryAnswerReachesTheCallerOfItsCallOrNobody
  FROM "static_cast<CallNumber>(incarnation_) << kIncarnationShift | ++last_number_" TO "++last_number_"
  TOLD "broken: ")
function(planted_in_links name)
  planted_mistake(${name} SOURCE src/net/backend_links.cpp OBJECTS system_backend_links_tests_objects LIBRARY ivygw_net ${ARGN})
endfunction()
planted_in_links(kept_after_extra_bytes RUN BytesAfterTheEndOfAnAnswerEndItsConnection
  FROM "reader_.unread() == 0 && !eof_ && !sending_" TO "!eof_ && !sending_"
  TOLD "answer,keep")
planted_in_links(kept_while_writing RUN AnAnswerAheadOfTheRequestsEndEndsItsConnection
  FROM "reader_.unread() == 0 && !eof_ && !sending_" TO "reader_.unread() == 0 && !eof_"
  TOLD "answer,keep")
planted_in_links(not_written_after_a_part RUN AResetAfterAPartOfTheRequestMayHaveRun
  FROM "any_written_ = any_written_ || taken > 0" TO "any_written_ = any_written_ || taken == message_.size()"
  TOLD "lost,unwritten")

# The same by bytes, through the whole proxy.
function(planted_on_the_wire name)
  planted_mistake(${name} OBJECTS system_proxy_wire_tests_objects LIBRARY system_proxy
                  RUN TwoThousandSeedsOfBackendsThatGoWrong ${ARGN})
endfunction()
planted_on_the_wire(wire_id_not_checked SOURCE system/decisions/request_lifecycle/lifecycle.cpp
  FROM "facts.own_id = facts.has_id && reply.attempt_id == expected_id" TO "facts.own_id = facts.has_id"
  TOLD "broken: (mixed|twice|refused)")
planted_on_the_wire(wire_kept_after_extra_bytes SOURCE src/net/backend_links.cpp
  FROM "reader_.unread() == 0 && !eof_ && !sending_" TO "!eof_ && !sending_"
  TOLD "broken: doubt")
planted_on_the_wire(wire_refusal_of_a_stranger_believed SOURCE system/decisions/request_lifecycle/answer_classification.cpp
  FROM "if (!answer.sole_request) return Untrusted(Evidence::kUnprovenRejection)" TO ""
  TOLD "broken: (twice|refused)")
planted_on_the_wire(wire_retry_of_what_may_run_only_once SOURCE system/decisions/request_lifecycle/lifecycle.cpp
  FROM "return request.idempotent || request.record.NothingDone().has_value()" TO "return true"
  TOLD "broken: twice")
planted_on_the_wire(wire_kept_after_doubt SOURCE system/decisions/request_lifecycle/lifecycle.cpp
  FROM "if (classification.trusted && event.reply.reusable" TO "if (event.reply.reusable"
  TOLD "broken: doubt")

# Two fields of one type that change places in what is stored.
planted_mistake(stored_fields_swapped SOURCE system/adapters/storage/table_format.cpp
  OBJECTS system_golden_formats_tests_objects LIBRARY system_snapshot RUN AStoreHasTheKeysAndValuesOfTheLandedBuild
  FROM "archive(state.store_id, state.membership, state.revision, state.promised)"
  TO "archive(state.revision, state.membership, state.store_id, state.promised)"
  TOLD "store:!state: differs from byte")
target_include_directories(planted_stored_fields_swapped SYSTEM PRIVATE ${LEVELDB_INCLUDE} ${CEREAL_INCLUDE})
target_link_libraries(planted_stored_fields_swapped PRIVATE system_discovery system_registry_records ${LEVELDB_LIBRARY})

# The store without what a loss of power asks of it: the incident's timeline ends without a quorum, and why is told.
function(planted_in_storage name)
  planted_mistake(${name} OBJECTS system_incident_timeline_tests_objects LIBRARY system_storage ${ARGN})
  target_link_libraries(planted_${name} PRIVATE system_replication ${LEVELDB_LIBRARY})
  set_tests_properties(planted_${name} PROPERTIES ENVIRONMENT IVYGW_INCIDENT_SEEDS=40)
endfunction()

planted_in_storage(rename_not_synced SOURCE system/adapters/storage/folder_syncing_env.cpp RUN OnDisksThatLoseNames
  FROM "  SyncChangedNames();" TO ""
  TOLD "at their end names lost")
planted_in_storage(torn_tail_is_damage SOURCE system/adapters/storage/table_disk.cpp RUN OnDisksThatTearWrites
  FROM "opened_.dropped_tails = DropTornTails(folder_, &env_);" TO ""
  TOLD "at their end record torn")

planted_mistake(granted_share_not_counted OBJECTS system_limits_tests_objects LIBRARY system_rate_limit
  SOURCE system/decisions/rate_limit/quota_allocator.cpp RUN GrantsOfOneMomentFitBesideEachOther
  FROM "    UpdateCountedShare(now, &tenant, &lease);" TO ""
  TOLD "more is granted than can be leased")

# The store without what a refused act asks of it: a sound store is lost.
function(planted_in_store name)
  planted_mistake(${name} OBJECTS system_store_refusals_tests_objects LIBRARY system_storage ${ARGN})
  target_include_directories(planted_${name} SYSTEM PRIVATE ${LEVELDB_INCLUDE} ${CEREAL_INCLUDE})
  target_link_libraries(planted_${name} PRIVATE ${LEVELDB_LIBRARY})
endfunction()

planted_in_store(manifest_of_current_removed SOURCE system/adapters/storage/folder_syncing_env.cpp
  FROM "if (MayBeCurrentManifest(path)) return" TO "if (path.empty()) return"
  RUN ASoundStoreSurvivesEachRefusedActOfAStart TOLD "renaming to CURRENT.*expected <1>")
planted_in_store(removed_before_names_are_synced SOURCE system/adapters/storage/folder_syncing_env.cpp
  FROM "if (!synced.ok()) return synced" TO "if (path.empty()) return synced"
  RUN ASoundStoreSurvivesEachRefusedActOfAStart TOLD "loss of power.*is lost")
planted_in_store(made_where_current_is_not_seen SOURCE system/adapters/storage/table_disk.cpp
  FROM "OpenDatabase(presence == Presence::kNoStore)" TO "OpenDatabase(presence != Presence::kLostItsCurrentFile)"
  RUN ASoundStoreSurvivesEachRefusedActOfAStart TOLD "looking for CURRENT.*expected <1>")
