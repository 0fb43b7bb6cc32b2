"""Middleware that turns every failure into a coded error body."""

from aiohttp import typedefs, web

from ..core import codec, errors
from ..telemetry import log, metrics

CONTENT_TYPE = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
# Under this key a handler puts the id into the request as soon as it is made.
REQUEST_ID = web.RequestKey("request_id", str)

_CODES = {
    401: errors.ErrorCode.UNAUTHORIZED,
    404: errors.ErrorCode.NOT_FOUND,
    413: errors.ErrorCode.BODY_TOO_LARGE,
}


def make_middleware(counters: metrics.Metrics) -> typedefs.Middleware:
    """Return the middleware that answers errors as ``{"error": ErrorBody}``.

    It should be the outermost one. A failure after the first byte of an answer
    aborts the connection, so that a cut answer never looks complete. An error answer
    has the id that the handler put under `REQUEST_ID` into the request.

    Parameters
    ----------
    counters : Metrics
        Gets ``http_errors`` by code.
    """

    @web.middleware
    async def answer_errors(
        request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except errors.MarjoramusherError as error:
            return _answer(request, error, error.http_status, counters)
        except web.HTTPException as error:
            if error.status < 400:
                raise
            coded = errors.MarjoramusherError(
                _CODES.get(error.status, errors.ErrorCode.BAD_REQUEST), error.reason
            )
            response = _answer(request, coded, error.status, counters)
            if "Allow" in error.headers:
                response.headers["Allow"] = error.headers["Allow"]
            return response
        except Exception as error:
            log.state_change(
                "http.internal_error",
                method=request.method,
                path=request.path,
                error=repr(error),
            )
            coded = errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                "the instance failed to handle the request",
                errors.Outcome.UNKNOWN,
            )
            return _answer(request, coded, 500, counters)

    return answer_errors


def error_response(
    error: errors.MarjoramusherError, status: int | None = None
) -> web.Response:
    """Return the response for an error."""
    return web.Response(
        status=status or error.http_status,
        body=codec.to_json({"error": error.body()}),
        content_type=CONTENT_TYPE,
    )


def json_response(value: object, status: int = 200, **headers: str) -> web.Response:
    """Return a response with a JSON body.

    Parameters
    ----------
    **headers : str
        Further headers, with underscores in place of hyphens.
    """
    return web.Response(
        status=status,
        body=codec.to_json(value),
        content_type=CONTENT_TYPE,
        headers={name.replace("_", "-"): text for name, text in headers.items()},
    )


def _answer(
    request: web.Request,
    error: errors.MarjoramusherError,
    status: int,
    counters: metrics.Metrics,
) -> web.Response:
    counters.increment("http_errors", code=error.code.value)
    if request.writer.output_size > 0:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the answer was cut after its first byte")
    response = error_response(error, status)
    if REQUEST_ID in request:
        response.headers[REQUEST_ID_HEADER] = request[REQUEST_ID]
    return response
