package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The small server for pages, from a caller's socket.
 *
 * <p>Guards against a caller that is cut off while it sends a body, an answer to half a request,
 * and a body that is taken for the next request.
 */
class PlainHttpServerTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<String> asked = new CopyOnWriteArrayList<>();
  private final Channel server =
      PlainHttpServer.start(
          group,
          new InetSocketAddress("127.0.0.1", 0),
          path -> {
            asked.add(path);
            return PlainHttpServer.Page.redirect("http://10.0.0.4:8229" + path);
          });

  @AfterEach
  void stop() {
    server.close().awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Test
  void answersAfterAWholeChunkedBody() throws IOException {
    String answers =
        send(
            "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "5\r\nhello\r\n0\r\n\r\n"
                + "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

    assertThat(asked).containsExactly("/config", "/second");
    assertThat(answers)
        .contains("307 Temporary Redirect")
        .containsIgnoringCase("location: http://10.0.0.4:8229/config")
        .containsIgnoringCase("location: http://10.0.0.4:8229/second");
  }

  @Test
  void givesNoAnswerToHalfARequest() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port())) {
      socket
          .getOutputStream()
          .write(bytes("PUT /config HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"));
      socket.shutdownOutput();
      socket.setSoTimeout(TIMEOUT_MILLIS);

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(asked).isEmpty();
  }

  @Test
  void closesOnWhatIsNoRequest() throws IOException {
    assertThat(send("no request at all\r\n\r\n")).doesNotContain("200");
  }

  private int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Sends bytes and returns what comes until the server closes. */
  private String send(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes(text));
      ByteArrayOutputStream answers = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(answers);
      return answers.toString(StandardCharsets.UTF_8);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
