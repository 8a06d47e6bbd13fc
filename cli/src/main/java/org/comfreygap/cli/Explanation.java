package org.comfreygap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.runtime.HybridClock;

/**
 * The cause of a request's outcome, with the events that led to it: those of the request, and those
 * of the processes and endpoints involved, from shortly before the request to shortly after it.
 *
 * <pre>{@code
 * Explanation.of("6f9486e003407292", events).ifPresent(found -> show(found.chain()));
 * }</pre>
 *
 * <p>Thread safety: immutable.
 *
 * @param chain the request's events and the related ones, in order
 * @param cause description of the outcome, from the request's last event
 * @param next hint for further investigation
 */
record Explanation(String request, List<JsonNode> chain, String cause, String next) {

  /** Events this long before the request, such as elections or lost links, may be its cause. */
  static final long LOOKBACK_MILLIS = 3_000;

  /** A sidecar detects a crash of its engine with some delay after the request's last event. */
  static final long LOOKAHEAD_MILLIS = 1_000;

  /** Numbers of events in which a gateway changes its view of control, settings or readiness. */
  private static final Set<Integer> GATEWAY_STATE_EVENTS =
      Set.of(1001, 1002, 1011, 1012, 1014, 1015, 3513, 3514, 3530, 3540, 3541, 3543);

  /** Numbers of endpoint events that concern commands for other adapters, not the request. */
  private static final Set<Integer> ADAPTER_COMMAND_EVENTS = Set.of(4510);

  private static final String ENDPOINT_EVENTS_HINT =
      "the endpoint's events in the chain; 4502 means an unresponsive engine, 4501 an engine start";

  /**
   * Numbers of crash and quarantine events; included at any age if the fingerprint or a part
   * matches.
   */
  private static final Set<Integer> CRASH_EVENTS = Set.of(2040, 2042, 2043, 3502, 3522, 3525);

  /** Outcomes of a request, by the number and reason of its last event. */
  private enum Outcome {
    OVER_LIMIT(3501, "over-limit") {
      @Override
      String cause(JsonNode fields) {
        return "refused: customer "
            + text(fields, "customer")
            + " had no credit left ("
            + text(fields, "credit")
            + ", requested "
            + text(fields, "tokens")
            + ")";
      }

      @Override
      String next() {
        return "a high exchangedMillisAgo or event 3530 in the chain points to control; otherwise"
            + " the fleet used up the limit: compare the customer's rate in the settings";
      }
    },
    NO_CREDIT_ANSWER(3501, "no-credit-answer") {
      @Override
      String cause(JsonNode fields) {
        return "refused: control did not respond in time about the customer's credit";
      }

      @Override
      String next() {
        return "events 1014, 1015 and 3530 of the gateway, 2001 and 25xx of control";
      }
    },
    FULL(3501, "full") {
      @Override
      String cause(JsonNode fields) {
        return "refused: no endpoint had capacity, or none loaded the adapter, within "
            + text(fields, "millis")
            + " ms";
      }

      @Override
      String next() {
        return "event 3505 in the chain names the adapter and why it was not loaded; event 4512"
            + " of that sidecar gives the engine's state";
      }
    },
    ENDPOINTS_LIMITED(3501, "endpoints-limited") {
      @Override
      String cause(JsonNode fields) {
        return "refused: the request limits of all endpoints of the pool admitted no send in time;"
            + " retry after "
            + text(fields, "retryMillis")
            + " ms";
      }

      @Override
      String next() {
        return "event 3508 in the chain names the endpoint that held the request back and its"
            + " limit, event 3516 when that limit was stated; 1011 and 1015 of the gateway show"
            + " that it had no confirmed view of the limiter";
      }
    },
    QUARANTINED(3501, "quarantined") {
      @Override
      String cause(JsonNode fields) {
        return "refused: endpoints crashed while running a request with fingerprint "
            + text(fields, "fingerprint")
            + "; quarantined for another "
            + text(fields, "retryMillis")
            + " ms";
      }

      @Override
      String next() {
        return "event 3525 in the chain names the crashed endpoints and how each crash was"
            + " detected, event 3502 the requests that they were running";
      }
    },
    PART_BANNED(3501, "part-banned") {
      @Override
      String cause(JsonNode fields) {
        return "refused: endpoints crashed while running requests whose prompt holds "
            + text(fields, "parts")
            + "; banned for another "
            + text(fields, "retryMillis")
            + " ms";
      }

      @Override
      String next() {
        return "event 2042 in the chain shows when control banned the parts, event 3525 the crashes"
            + " that it counted; comfreygap quarantine list shows the evidence, and"
            + " comfreygap quarantine lift ends the ban";
      }
    },
    VERSION_GONE(3501, "version-gone") {
      @Override
      String cause(JsonNode fields) {
        return "refused: the stream may go on only at the software version that began it, and no"
            + " endpoint of that version is listed";
      }

      @Override
      String next() {
        return "event 3519 names the version and the attempt that brought the first event; events"
            + " 3510 to 3512 show when endpoints came and left";
      }
    },
    ORIGIN_UNKNOWN(3501, "origin-unknown") {
      @Override
      String cause(JsonNode fields) {
        return "refused: it is not known which software version began the stream";
      }

      @Override
      String next() {
        return "event 3519 names the attempt that the caller gave as the one that brought the first"
            + " event; without one, a stream goes on only while a single version serves";
      }
    },
    REFUSED(3501, "") {
      @Override
      String cause(JsonNode fields) {
        return "refused with " + text(fields, "status") + ": " + text(fields, "reason");
      }

      @Override
      String next() {
        return "events 3540, 3541, 1011 and 1015 of the gateway: tables, readiness and settings"
            + " lease";
      }
    },
    ENDED_WITH_ENDPOINT(3503, "the response ended together with its endpoint") {
      @Override
      String cause(JsonNode fields) {
        return "broken off: endpoint "
            + text(fields, "endpoint")
            + " refused connections right after it had closed that of a response without length,"
            + " which had reached event "
            + text(fields, "lastEvent");
      }

      @Override
      String next() {
        return "event 3525 in the chain shows what else was lost with the endpoint";
      }
    },
    ENDED_INSIDE_EVENT(3503, "the stream ended inside an event") {
      @Override
      String cause(JsonNode fields) {
        return "broken off: endpoint "
            + text(fields, "endpoint")
            + " closed the connection of a stream without length inside the event after "
            + text(fields, "lastEvent");
      }

      @Override
      String next() {
        return ENDPOINT_EVENTS_HINT;
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
        boolean started = text(fields, "begun").equals("true");
        return "the caller disconnected after "
            + text(fields, "millis")
            + " ms; "
            + (started
                ? "the response had reached event " + text(fields, "lastEvent")
                : text(fields, "sent").equals("true")
                    ? "the endpoint had not started its response"
                    : "it had not been sent to an endpoint");
      }

      @Override
      String next() {
        return ENDPOINT_EVENTS_HINT + "; event 3505 names an adapter that was not loaded";
      }
    },
    NOT_DELIVERED(3546, "") {
      @Override
      String cause(JsonNode fields) {
        return "the response was complete at the gateway, but the caller's connection ended before"
            + " all of it was written: "
            + text(fields, "reason");
      }

      @Override
      String next() {
        return "events 1002 and 1003 of the gateway show a planned stop; without one, the caller"
            + " did not read";
      }
    },
    NOT_ANSWERED(3547, "") {
      @Override
      String cause(JsonNode fields) {
        return "read, not run and not answered: " + text(fields, "reason");
      }

      @Override
      String next() {
        return "events 1002 and 1003 of the gateway show a planned stop; otherwise the caller wrote"
            + " it after it had been told that the connection closes";
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
        return "load in event 3507 shows the endpoint's load when it was chosen";
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
      for (Outcome outcome : values()) {
        boolean reasonMatches =
            outcome.reason.isEmpty() || outcome.reason.equals(text(event.path("fields"), "reason"));
        if (outcome.number == event.path("number").asInt() && reasonMatches) {
          return Optional.of(outcome);
        }
      }
      return Optional.empty();
    }
  }

  /** Returns the explanation, or empty if no event belongs to the request. */
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
    JsonNode lastFields = own.get(own.size() - 1).path("fields");
    Optional<Outcome> lastOutcome = Outcome.of(own.get(own.size() - 1));
    String fingerprint =
        lastOutcome
            .filter(outcome -> outcome == Outcome.QUARANTINED)
            .map(outcome -> text(lastFields, "fingerprint"))
            .orElse("");
    Set<String> bannedParts =
        lastOutcome
            .filter(outcome -> outcome == Outcome.PART_BANNED)
            .map(outcome -> parts(lastFields))
            .orElse(Set.of());
    long from = millis(own.get(0)) - LOOKBACK_MILLIS;
    long to = millis(own.get(own.size() - 1)) + LOOKAHEAD_MILLIS;
    List<JsonNode> chain = new ArrayList<>();
    for (JsonNode event : events) {
      boolean inWindow = millis(event) >= from && millis(event) <= to;
      if (own.contains(event)
          || inWindow && isRelated(event, processes, endpoints)
          || isCrashOfSameFingerprint(event, fingerprint)
          || isCrashOfSamePart(event, bannedParts)) {
        chain.add(event);
      }
    }
    JsonNode last = own.get(own.size() - 1);
    Optional<Outcome> outcome = Outcome.of(last);
    return Optional.of(
        new Explanation(
            request,
            chain,
            outcome
                .map(found -> found.cause(last.path("fields")))
                .orElse(
                    "no event records the outcome: the process stopped, or a log line is missing"),
            outcome.map(Outcome::next).orElse("events 1001, 1002 and 1003 of the same process")));
  }

  /** Returns the time of an event in milliseconds after the first event of the request. */
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

  private static boolean isCrashOfSamePart(JsonNode event, Set<String> bannedParts) {
    return CRASH_EVENTS.contains(event.path("number").asInt())
        && parts(event.path("fields")).stream().anyMatch(bannedParts::contains);
  }

  /** Returns the parts that an event names, given as a list in brackets. */
  private static Set<String> parts(JsonNode fields) {
    Set<String> parts =
        new HashSet<>(List.of(text(fields, "parts").replaceAll("[\\[\\]]", "").split(", *")));
    parts.remove("");
    return parts;
  }

  private static String text(JsonNode fields, String name) {
    return fields.path(name).asText("");
  }

  private static long millis(JsonNode event) {
    return HybridClock.millis(event.path("hlc").asLong());
  }
}
