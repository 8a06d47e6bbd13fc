package org.comfreygap.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies that hold another response, and against sound ones taken for such. */
class EmbeddedHeadTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nServer: x\r\nRequest-Id: 1\r\n\r\n";

  @Test
  void findsAHeadAtEachPlaceOfABody() {
    String body = "id: 1\r\ndata: HTTP/1.1 HTTP/1.1 20\r\n\r\n";
    for (int at = 0; at <= body.length(); at++) {
      String mixed = body.substring(0, at) + HEAD + body.substring(at);

      assertThat(offset(mixed)).as("offset %s", at).hasValue(at);
    }
  }

  @Test
  void findsTheSecondHeadAfterTheBeginningOfAnother() {
    assertThat(offset("HTTP/1.1 200 OK\r\nSer" + HEAD)).hasValue(20);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "data: the line HTTP/1.1 200 OK\n\ndata: request-id: 1\n\n",
        "HTTP/1.1 200 OK\nRequest-Id: 1\n",
        "HTTP/1.1 200 OK\r\n\r\nRequest-Id: 1\r\n",
        "HTTP/1.1 OK\r\nRequest-Id: 1\r\n",
        "{\"text\":\"HTTP/1.1 200 OK\\r\\nRequest-Id: 1\\r\\n\"}"
      })
  void findsNothingInASoundBody(String body) {
    assertThat(offset(body)).isEmpty();
  }

  private static OptionalLong offset(String body) {
    EmbeddedHead embedded = new EmbeddedHead(Set.of("request-id"));
    for (byte next : body.getBytes(StandardCharsets.ISO_8859_1)) {
      embedded.add(next);
    }
    return embedded.offset();
  }
}
