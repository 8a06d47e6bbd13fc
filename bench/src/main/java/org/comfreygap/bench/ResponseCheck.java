package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.comfreygap.bench.CallResult.Verdict;

/**
 * Verifies that a response is complete and belongs to the caller's own request, by the adapter,
 * nonce and position that the fakes put into every token.
 *
 * <p>Thread safety: one instance belongs to one request.
 *
 * @since 0.1
 */
final class ResponseCheck {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DATA = "data:";

  private final PlannedRequest planned;
  private final String adapter;
  private final StringBuilder content = new StringBuilder();
  private boolean endReceived;
  private boolean reportedFailure;
  private boolean unreadable;
  private String problem = "";

  ResponseCheck(PlannedRequest planned, String team) {
    this.planned = planned;
    this.adapter = team + "/" + planned.model();
  }

  /** Processes one line of a stream of server-sent events. */
  void acceptLine(String line) {
    if (!line.startsWith(DATA)) {
      reportedFailure |= line.startsWith("event: error");
      return;
    }
    String data = line.substring(DATA.length()).trim();
    if (data.equals("[DONE]")) {
      endReceived = true;
      return;
    }
    try {
      JsonNode event = JSON.readTree(data);
      reportedFailure |= event.has("error");
      JsonNode choice = event.path("choices").path(0);
      content.append(choice.path("delta").path("content").asText(choice.path("text").asText("")));
    } catch (IOException e) {
      unreadable = true;
    }
  }

  /** Returns a human-readable description of the last token check and of the stream's defects. */
  String problem() {
    return problem
        + (endReceived ? "" : " no [DONE] event")
        + (unreadable ? " an unreadable event" : "");
  }

  /** Returns the verdict on the stream after its last line. */
  Verdict streamVerdict() {
    if (reportedFailure) {
      return Verdict.BROKEN;
    }
    Verdict verdict = checkTokens(content.toString());
    return verdict == Verdict.COMPLETE && (!endReceived || unreadable) ? Verdict.CUT : verdict;
  }

  /** Returns the verdict on a body that was not streamed. */
  Verdict bodyVerdict(String body) {
    JsonNode json;
    try {
      json = JSON.readTree(body);
    } catch (IOException e) {
      return Verdict.CUT;
    }
    if (planned.serviceCall()) {
      if (!json.path("end").asBoolean()) {
        return Verdict.CUT;
      }
      boolean own = json.path("nonce").asText().equals(planned.nonce());
      return own ? Verdict.COMPLETE : Verdict.MIXED;
    }
    return checkTokens(json.path("choices").path(0).path("message").path("content").asText());
  }

  private Verdict checkTokens(String text) {
    String[] parts = text.isEmpty() ? new String[0] : text.split(";");
    for (int i = 0; i < parts.length; i++) {
      String[] fields = parts[i].split(" ");
      problem = "token " + (i + 1) + " of " + planned.tokens() + " reads " + parts[i];
      if (fields.length < 2 && i == parts.length - 1) {
        return Verdict.CUT;
      }
      if (!fields[0].equals(adapter) || !fields[1].equals(planned.nonce())) {
        return Verdict.MIXED;
      }
      if (fields.length != 4 || !fields[3].equals((i + 1) + "/" + planned.tokens())) {
        return Verdict.CUT;
      }
    }
    problem = parts.length + " tokens of " + planned.tokens();
    return parts.length == planned.tokens() ? Verdict.COMPLETE : Verdict.CUT;
  }
}
