package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.runtime.HybridClock;

/**
 * Why one request ended as it did: its own events, and those of the processes and endpoints that it
 * met, shortly before and while it was open.
 *
 * <pre>{@code
 * Explanation.of("6f9486e003407292", events).ifPresent(found -> show(found.chain()));
 * }</pre>
 *
 * <p>Thread safety: immutable.
 *
 * @param chain events in order; those of the request and those around it
 * @param cause what the last event says about the end
 * @param next where to look next
 */
record Explanation(String request, List<JsonNode> chain, String cause, String next) {

  /** Time before the request in which a change may have caused its end: elections, lost links. */
  static final long LOOKBACK_MILLIS = 3_000;

  /** Time after its last event: a sidecar notices a crash of its engine a little later. */
  static final long LOOKAHEAD_MILLIS = 1_000;

  /** Events of a gateway that change what it believes, numbers of the catalogue. */
  private static final Set<Integer> GATEWAY_STATE_EVENTS =
      Set.of(1001, 1002, 1011, 1012, 1014, 1015, 3530, 3540, 3541);

  /** Events of endpoints that say nothing about one request: orders for other adapters. */
  private static final Set<Integer> ADAPTER_COMMAND_EVENTS = Set.of(4510);

  private static final String ENDPOINT_EVENTS_HINT =
      "the events of the endpoint in the chain; 4502 is a silent engine, 4501 a new start";

  /** Events that tell what equal requests did, however long ago: they led to a quarantine. */
  private static final Set<Integer> CRASH_EVENTS = Set.of(2040, 3502, 3522, 3525);

  /** What an end of a request means. */
  private enum Outcome {
    OVER_LIMIT(3501, "over-limit") {
      @Override
      String cause(JsonNode fields) {
        return "refused: customer "
            + text(fields, "customer")
            + " had no credit left ("
            + text(fields, "credit")
            + ", asked "
            + text(fields, "tokens")
            + ")";
      }

      @Override
      String next() {
        return "a high exchangedMillisAgo or 3530 in the chain points to control; else the limit"
            + " was used up over the whole fleet: compare the customer's rate in the settings";
      }
    },
    NO_CREDIT_ANSWER(3501, "no-credit-answer") {
      @Override
      String cause(JsonNode fields) {
        return "refused: control did not say in time whether the customer has credit";
      }

      @Override
      String next() {
        return "1014, 1015 and 3530 of the gateway, 2001 and 25xx of control";
      }
    },
    FULL(3501, "full") {
      @Override
      String cause(JsonNode fields) {
        return "refused: no endpoint had a place, or none loaded the adapter, within "
            + text(fields, "millis")
            + " ms";
      }

      @Override
      String next() {
        return "3505 in the chain names the adapter and why it was not loaded; 4512 of that sidecar"
            + " gives the engine's state";
      }
    },
    QUARANTINED(3501, "quarantined") {
      @Override
      String cause(JsonNode fields) {
        return "refused: endpoints crashed while they ran an equal request, fingerprint "
            + text(fields, "fingerprint")
            + "; quarantined for another "
            + text(fields, "retryMillis")
            + " ms";
      }

      @Override
      String next() {
        return "3525 in the chain names the endpoints that ended and by which sign, 3502 the"
            + " requests that were there";
      }
    },
    REFUSED(3501, "") {
      @Override
      String cause(JsonNode fields) {
        return "refused with " + text(fields, "status") + ": " + text(fields, "reason");
      }

      @Override
      String next() {
        return "3540, 3541, 1011 and 1015 of the gateway: tables, readiness and settings lease";
      }
    },
    FAILED(3503, "") {
      @Override
      String cause(JsonNode fields) {
        return "failed after "
            + text(fields, "attempts")
            + " attempts, last at "
            + text(fields, "endpoint")
            + ": "
            + text(fields, "reason");
      }

      @Override
      String next() {
        return ENDPOINT_EVENTS_HINT;
      }
    },
    ABANDONED(3504, "") {
      @Override
      String cause(JsonNode fields) {
        boolean begun = text(fields, "begun").equals("true");
        return "the caller left after "
            + text(fields, "millis")
            + " ms; "
            + (begun
                ? "the answer had come to event " + text(fields, "lastEvent")
                : text(fields, "sent").equals("true")
                    ? "the endpoint had not begun its answer"
                    : "it had not been sent to an endpoint");
      }

      @Override
      String next() {
        return ENDPOINT_EVENTS_HINT + "; 3505 tells of an adapter that was not loaded";
      }
    },
    SERVED(3506, "") {
      @Override
      String cause(JsonNode fields) {
        return "served with "
            + text(fields, "status")
            + " by "
            + text(fields, "endpoint")
            + "; first output after "
            + text(fields, "beganMillis")
            + " ms, complete after "
            + text(fields, "millis")
            + " ms";
      }

      @Override
      String next() {
        return "load in 3507 shows what the endpoint had to do when it was chosen";
      }
    };

    private final int number;
    private final String reason;

    Outcome(int number, String reason) {
      this.number = number;
      this.reason = reason;
    }

    abstract String cause(JsonNode fields);

    abstract String next();

    static Optional<Outcome> of(JsonNode event) {
      for (Outcome ending : values()) {
        boolean fits =
            ending.reason.isEmpty() || ending.reason.equals(text(event.path("fields"), "reason"));
        if (ending.number == event.path("number").asInt() && fits) {
          return Optional.of(ending);
        }
      }
      return Optional.empty();
    }
  }

  /** Returns the explanation, or empty when no event is of the request. */
  static Optional<Explanation> of(String request, List<JsonNode> events) {
    List<JsonNode> own =
        events.stream()
            .filter(event -> text(event.path("fields"), "request").equals(request))
            .toList();
    if (own.isEmpty()) {
      return Optional.empty();
    }
    Set<String> processes = new HashSet<>();
    Set<String> endpoints = new HashSet<>();
    for (JsonNode event : own) {
      processes.add(event.path("process").asText());
      endpoints.add(text(event.path("fields"), "endpoint"));
    }
    endpoints.removeAll(Set.of("", "none"));
    String fingerprint =
        Outcome.of(own.get(own.size() - 1))
            .filter(ending -> ending == Outcome.QUARANTINED)
            .map(ending -> text(own.get(own.size() - 1).path("fields"), "fingerprint"))
            .orElse("");
    long from = millis(own.get(0)) - LOOKBACK_MILLIS;
    long to = millis(own.get(own.size() - 1)) + LOOKAHEAD_MILLIS;
    List<JsonNode> chain = new ArrayList<>();
    for (JsonNode event : events) {
      boolean inTime = millis(event) >= from && millis(event) <= to;
      if (own.contains(event)
          || inTime && isRelated(event, processes, endpoints)
          || isCrashOfSameFingerprint(event, fingerprint)) {
        chain.add(event);
      }
    }
    JsonNode last = own.get(own.size() - 1);
    Optional<Outcome> ending = Outcome.of(last);
    return Optional.of(
        new Explanation(
            request,
            chain,
            ending
                .map(found -> found.cause(last.path("fields")))
                .orElse("no event tells the end: the process stopped, or the line was left out"),
            ending.map(Outcome::next).orElse("1001, 1002 and 1003 of the same process")));
  }

  /** Returns the milliseconds of an event since the first event of the request. */
  long offsetMillis(JsonNode event) {
    JsonNode first =
        chain.stream()
            .filter(one -> text(one.path("fields"), "request").equals(request))
            .findFirst()
            .orElseThrow();
    return millis(event) - millis(first);
  }

  private static boolean isRelated(JsonNode event, Set<String> processes, Set<String> endpoints) {
    JsonNode fields = event.path("fields");
    if (!text(fields, "request").isEmpty()) {
      return false;
    }
    boolean ofEndpoint = endpoints.contains(text(fields, "endpoint"));
    return ofEndpoint && !ADAPTER_COMMAND_EVENTS.contains(event.path("number").asInt())
        || processes.contains(event.path("process").asText())
            && GATEWAY_STATE_EVENTS.contains(event.path("number").asInt());
  }

  private static boolean isCrashOfSameFingerprint(JsonNode event, String fingerprint) {
    JsonNode fields = event.path("fields");
    return !fingerprint.isEmpty()
        && CRASH_EVENTS.contains(event.path("number").asInt())
        && (text(fields, "fingerprint").equals(fingerprint)
            || text(fields, "fingerprints").contains(fingerprint));
  }

  private static String text(JsonNode fields, String name) {
    return fields.path(name).asText("");
  }

  private static long millis(JsonNode event) {
    return HybridClock.millis(event.path("hlc").asLong());
  }
}
